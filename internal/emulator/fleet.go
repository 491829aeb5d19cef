package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
)

// callerRetries is how often a refused caller comes back.
const callerRetries = 1

// Fleet is the engines and callers of one run.
type Fleet struct {
	schedule
	scenario Scenario
	engines  []*Engine
	way      Way
	result   *Result
	random   *rand.Rand
}

// Play lets a way place the requests of a scenario.
func Play(s Scenario, way Way) *Result {
	f := &Fleet{
		schedule: schedule{now: start},
		scenario: s,
		way:      way,
		result:   &Result{Scenario: s.Name, Way: way.Name()},
		random:   rand.New(rand.NewPCG(s.Seed, 99)),
	}
	for i := range s.Engines {
		f.engines = append(f.engines, &Engine{
			fleet: f,
			endpoint: &traffic.Endpoint{
				ID:            fmt.Sprintf("e%02d", i),
				Service:       "engines",
				Address:       fmt.Sprintf("10.0.1.%d:80", i+1),
				FailureDomain: f.domain(i),
				Slots:         s.Slots,
			},
			memory:   newMemory(s.Memory),
			queueLen: s.Queue,
		})
	}
	way.Start(f)
	work := s.work()
	for _, request := range work {
		f.after(request.At.Sub(f.now), func() { f.arrive(request) })
		f.after(request.At.Sub(f.now)+request.Kind.Limit, func() { f.leave(request) })
	}
	f.schedule.run(start.Add(s.For + 20*time.Second))
	f.result.requests = work
	for _, e := range f.engines {
		f.result.Busy += e.busy
	}
	return f.result
}

func (f *Fleet) domain(number int) string {
	return fmt.Sprintf("d%d", number%domains)
}

// arrive hands a caller's attempt to the way.
func (f *Fleet) arrive(r *Request) {
	if r.ended {
		return
	}
	r.attempts++
	r.tried = r.tried[:0]
	r.offered = f.now
	f.way.Offer(r)
}

// Refuse tells a caller to come back later.
func (f *Fleet) Refuse(r *Request) {
	f.result.Refusals++
	f.result.Held += f.now.Sub(r.offered)
	if r.attempts > callerRetries {
		f.end(r, Refused)
		return
	}
	wait := comeBack + time.Duration(f.random.Int64N(int64(comeBack)))
	f.after(wait, func() {
		r.VM = f.random.IntN(f.scenario.VMs)
		f.arrive(r)
	})
}

// Send hands a request to an engine; from holds parts to copy, nil if none does. It
// returns false if the engine is full.
func (f *Fleet) Send(r *Request, e, from *Engine) bool {
	r.tried = append(r.tried, e.endpoint.ID)
	f.result.noteSend(f, e)
	return e.submit(r, from)
}

// token notes a token of an answer.
func (f *Fleet) token(run *Run) {
	r := run.request
	if run.made == 1 {
		r.firstAt = f.now
		f.way.Read(r)
	}
	if run.made < r.Answer {
		return
	}
	run.engine.drop(run)
	f.end(r, Served)
	f.way.Ended(r, run.engine)
}

// leave lets the caller go whose time is over.
func (f *Fleet) leave(r *Request) {
	if r.ended {
		return
	}
	f.end(r, Late)
	run := r.run
	if run == nil {
		return
	}
	run.engine.drop(run)
	f.result.Wasted += run.read + run.made
	f.way.Ended(r, run.engine)
}

func (f *Fleet) end(r *Request, fate Fate) {
	r.ended = true
	r.fate = fate
}

// meanLoad is the mean number of requests at an engine.
func (f *Fleet) meanLoad() float64 {
	total := 0
	for _, e := range f.engines {
		total += e.load()
	}
	return float64(total) / float64(len(f.engines))
}

// engine returns the engine with the given id.
func (f *Fleet) engine(id string) *Engine {
	for _, e := range f.engines {
		if e.endpoint.ID == id {
			return e
		}
	}
	return nil
}
