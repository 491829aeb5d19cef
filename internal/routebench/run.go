package routebench

import (
	"container/heap"
	"time"
)

// run is one run of a strategy with a deployment's workload.
type run struct {
	fleet        *Fleet
	strategy     Strategy
	result       *Result
	replacements []replacement
	completions  completionQueue
	lastEngine   map[int]int
	nextExchange time.Duration
	recentMeans  maxWindow
}

// exchangePeriod is the time between exchanges of loads.
const exchangePeriod = time.Second

// Run lets strategy place all requests of work and returns the results.
func Run(d Deployment, s Scenario, strategy Strategy, work []Request) *Result {
	r := &run{
		fleet:        NewFleet(d),
		strategy:     strategy,
		result:       &Result{Strategy: strategy.Name(), Scenario: s.Name},
		replacements: s.replacements(d),
		lastEngine:   map[int]int{},
	}
	strategy.Start(r.fleet)
	for i := range work {
		r.advance(work[i].At)
		r.place(&work[i])
	}
	return r.result
}

// advance processes all events that are due up to at, in order.
func (r *run) advance(at time.Duration) {
	for {
		next := min(r.nextExchange, r.nextCompletion(), r.nextReplacement())
		if next > at {
			break
		}
		r.fleet.Now = next
		switch next {
		case r.nextReplacement():
			r.replace()
		case r.nextCompletion():
			r.complete(heap.Pop(&r.completions).(completion))
		default:
			r.exchange()
		}
	}
	r.fleet.Now = at
}

// noEvent is a time after the end of any run.
const noEvent = 1 << 62

func (r *run) nextCompletion() time.Duration {
	if len(r.completions) == 0 {
		return noEvent
	}
	return r.completions[0].at
}

func (r *run) nextReplacement() time.Duration {
	if len(r.replacements) == 0 {
		return noEvent
	}
	return r.replacements[0].at
}

// replace performs the next replacement of an engine or router.
func (r *run) replace() {
	next := r.replacements[0]
	r.replacements = r.replacements[1:]
	if next.router {
		r.fleet.replaceRouter(next.index)
		r.strategy.RouterReplaced(next.index)
		return
	}
	r.completeWorkAt(next.index)
	r.fleet.replaceEngine(next.index)
	r.strategy.EnginesChanged()
}

// completeWorkAt ends all work in progress at an engine.
func (r *run) completeWorkAt(number int) {
	var remaining completionQueue
	for _, c := range r.completions {
		if c.placement.Engine == number {
			r.complete(c)
			continue
		}
		remaining = append(remaining, c)
	}
	heap.Init(&remaining)
	r.completions = remaining
}

func (r *run) complete(c completion) {
	r.fleet.add(c.placement.Engine, c.request, -1)
	r.strategy.Release(c.request, c.placement)
}

func (r *run) exchange() {
	r.nextExchange += exchangePeriod
	bytes := r.strategy.Exchange()
	r.recentMeans.add(r.fleet.Now, r.fleet.mean())
	if !r.measuring() {
		return
	}
	r.result.Bytes += bytes
	r.result.Seconds++
}

// measuring reports whether the measured time has begun.
func (r *run) measuring() bool {
	return r.fleet.Now >= warmUp
}

// place lets the strategy place one request and applies the result to the fleet.
func (r *run) place(request *Request) {
	hint, seen := r.lastEngine[request.Chat]
	if !seen {
		hint = noEngine
	}
	before := r.holder(request, hint)
	placement := r.strategy.Place(request, hint)
	if r.measuring() {
		r.recordDecision(request, hint, before, placement)
	}
	if placement.Engine == noEngine {
		return
	}
	e := r.fleet.engines[placement.Engine]
	e.cache.Use(request.Chat, request.PromptTokens+request.AnswerTokens)
	r.lastEngine[request.Chat] = placement.Engine
	r.fleet.add(placement.Engine, request, 1)
	heap.Push(&r.completions, completion{request.At + request.serviceTime(), request, placement})
	r.recentMeans.add(r.fleet.Now, r.fleet.mean())
	if r.measuring() && e.tokens > r.fleet.limits.EngineFloorTokens && e.requests > 1 {
		r.result.admittedRatios = append(r.result.admittedRatios, float64(e.tokens)/r.fleet.mean())
		r.result.laggedRatios = append(r.result.laggedRatios, float64(e.tokens)/r.recentMeans.largest(r.fleet.Now))
	}
}

// holder returns hint if that engine is live and holds the chat's context.
func (r *run) holder(request *Request, hint int) int {
	if hint == noEngine || !r.fleet.engines[hint].live || !r.fleet.engines[hint].cache.Holds(request.Chat) {
		return noEngine
	}
	return hint
}

// recordDecision counts one decision, before it is applied to the fleet.
func (r *run) recordDecision(request *Request, hint, holder int, p Placement) {
	result := r.result
	result.Requests++
	result.Asked += p.Asked
	if p.Engine == noEngine {
		result.Refused++
	} else if p.LastResort {
		result.LastResort++
	}
	if hint == noEngine {
		return
	}
	result.Returning++
	if p.Engine != noEngine && r.fleet.engines[p.Engine].cache.Holds(request.Chat) {
		result.Reused++
	}
	if holder == noEngine || p.HintFull {
		return
	}
	if p.Engine != holder {
		result.Moved++
	}
	if r.fleet.ranked(request, 1)[0] == holder {
		return
	}
	result.Spilled++
	if p.Engine == holder {
		result.Found++
	}
}
