package routebench

import (
	"container/heap"
	"time"
)

// run is one run of a way on a deployment's work.
type run struct {
	fleet   *Fleet
	way     Way
	result  *Result
	changes []change
	ends    ends
	last    map[int]int
	tick    time.Duration
	means   window
}

// exchangePeriod is the time between exchanges of loads.
const exchangePeriod = time.Second

// Run lets way place all requests of work and counts what comes of it.
func Run(d Deployment, s Scenario, way Way, work []Request) *Result {
	r := &run{
		fleet:   NewFleet(d),
		way:     way,
		result:  &Result{Way: way.Name(), Scenario: s.Name},
		changes: s.changes(d),
		last:    map[int]int{},
	}
	way.Start(r.fleet)
	for i := range work {
		r.advance(work[i].At)
		r.place(&work[i])
	}
	return r.result
}

// advance lets everything happen that is due before at.
func (r *run) advance(at time.Duration) {
	for {
		next := min(r.tick, r.nextEnd(), r.nextChange())
		if next > at {
			break
		}
		r.fleet.Now = next
		switch next {
		case r.nextChange():
			r.change()
		case r.nextEnd():
			r.end(heap.Pop(&r.ends).(end))
		default:
			r.exchange()
		}
	}
	r.fleet.Now = at
}

// never is later than any run.
const never = 1 << 62

func (r *run) nextEnd() time.Duration {
	if len(r.ends) == 0 {
		return never
	}
	return r.ends[0].at
}

func (r *run) nextChange() time.Duration {
	if len(r.changes) == 0 {
		return never
	}
	return r.changes[0].at
}

func (r *run) change() {
	c := r.changes[0]
	r.changes = r.changes[1:]
	if c.router {
		r.fleet.replaceRouter(c.index)
		r.way.RouterReplaced(c.index)
		return
	}
	r.cut(c.index)
	r.fleet.replaceEngine(c.index)
	r.way.EnginesChanged()
}

// cut ends all work in progress at an engine.
func (r *run) cut(number int) {
	var left ends
	for _, e := range r.ends {
		if e.placement.Engine == number {
			r.end(e)
			continue
		}
		left = append(left, e)
	}
	heap.Init(&left)
	r.ends = left
}

func (r *run) end(e end) {
	r.fleet.add(e.placement.Engine, e.request, -1)
	r.way.Release(e.request, e.placement)
}

func (r *run) exchange() {
	r.tick += exchangePeriod
	bytes := r.way.Exchange()
	r.means.add(r.fleet.Now, r.fleet.mean())
	if !r.counts() {
		return
	}
	r.result.Bytes += bytes
	r.result.Seconds++
}

// counts reports whether the measured time has begun.
func (r *run) counts() bool {
	return r.fleet.Now >= warmUp
}

func (r *run) place(request *Request) {
	hint, seen := r.last[request.Chat]
	if !seen {
		hint = none
	}
	before := r.holder(request, hint)
	placement := r.way.Place(request, hint)
	if r.counts() {
		r.count(request, hint, before, placement)
	}
	if placement.Engine == none {
		return
	}
	e := r.fleet.engines[placement.Engine]
	e.cache.use(request.Chat, request.Prompt+request.Answer)
	r.last[request.Chat] = placement.Engine
	r.fleet.add(placement.Engine, request, 1)
	heap.Push(&r.ends, end{request.At + request.service(), request, placement})
	r.means.add(r.fleet.Now, r.fleet.mean())
	if r.counts() && e.tokens > r.fleet.limits.EngineFloorTokens && e.requests > 1 {
		r.result.admitted = append(r.result.admitted, float64(e.tokens)/r.fleet.mean())
		r.result.lagged = append(r.result.lagged, float64(e.tokens)/r.means.largest(r.fleet.Now))
	}
}

// holder returns hint if that engine is live and holds the chat's context.
func (r *run) holder(request *Request, hint int) int {
	if hint == none || !r.fleet.engines[hint].live || !r.fleet.engines[hint].cache.holds(request.Chat) {
		return none
	}
	return hint
}

// count takes in one decision before it has changed the fleet.
func (r *run) count(request *Request, hint, holder int, p Placement) {
	result := r.result
	result.Requests++
	result.Asked += p.Asked
	if p.Engine == none {
		result.Refused++
	} else if p.Last {
		result.Last++
	}
	if hint == none {
		return
	}
	result.Returning++
	if p.Engine != none && r.fleet.engines[p.Engine].cache.holds(request.Chat) {
		result.Reused++
	}
	if holder == none || p.HintFull {
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
