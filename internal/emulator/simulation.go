package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
)

// maxCallerRetries is how often a refused caller retries.
const maxCallerRetries = 1

// Simulation is one run of a scenario under a policy.
type Simulation struct {
	schedule
	scenario Scenario
	engines  []*Engine
	policy   Policy
	result   *Result
	random   *rand.Rand
}

// Simulate runs a scenario under a policy and returns the result.
func Simulate(s Scenario, policy Policy) *Result {
	sim := &Simulation{
		schedule: schedule{now: startTime},
		scenario: s,
		policy:   policy,
		result:   &Result{Scenario: s.Name, Policy: policy.Name(), kinds: s.kinds()},
		random:   rand.New(rand.NewPCG(s.Seed, 99)),
	}
	for i := range s.Engines {
		sim.engines = append(sim.engines, &Engine{
			sim: sim,
			endpoint: &traffic.Endpoint{
				ID:            fmt.Sprintf("e%02d", i),
				Service:       "engines",
				Address:       fmt.Sprintf("10.0.1.%d:80", i+1),
				FailureDomain: sim.domain(i),
				Slots:         s.Slots,
			},
			cache:    newKVCache(s.CacheTokens),
			maxQueue: s.Queue,
		})
	}
	policy.Start(sim)
	requests := s.generateRequests()
	for _, request := range requests {
		sim.after(request.ArrivesAt.Sub(sim.now), func() { sim.arrive(request) })
		sim.after(request.ArrivesAt.Sub(sim.now)+request.Kind.Timeout, func() { sim.expire(request) })
	}
	// All callers have left by then: the longest Kind.Timeout is 15 s.
	sim.schedule.run(startTime.Add(s.Duration + 20*time.Second))
	sim.result.requests = requests
	for _, e := range sim.engines {
		sim.result.BusyTime += e.busyTime
	}
	return sim.result
}

// domain returns the failure domain of a VM or an engine with the given number.
func (sim *Simulation) domain(number int) string {
	return fmt.Sprintf("d%d", number%domains)
}

// arrive hands a new attempt of a request to the policy.
func (sim *Simulation) arrive(r *Request) {
	if r.ended {
		return
	}
	r.attempts++
	r.tried = r.tried[:0]
	r.offeredAt = sim.now
	sim.policy.Place(r)
}

// Refuse refuses an attempt. Unless it has no retry left, the caller retries at a random VM
// after retryAfter, or after callerRetryDelay or more if that is 0. It waits for
// at most a third of the time that it has left.
func (sim *Simulation) Refuse(r *Request, retryAfter time.Duration) {
	sim.result.Refusals++
	sim.result.RefusalTime += sim.now.Sub(r.offeredAt)
	if r.attempts > maxCallerRetries {
		sim.finish(r, Refused)
		return
	}
	wait := callerRetryDelay + time.Duration(sim.random.Int64N(int64(callerRetryDelay)))
	if retryAfter > 0 {
		wait = min(retryAfter, sim.timeLeft(r)/maxWaitDivisor)
	}
	sim.after(wait, func() {
		r.VM = sim.random.IntN(sim.scenario.VMs)
		sim.arrive(r)
	})
}

// maxWaitDivisor divides the time that a caller has left to get its longest wait.
const maxWaitDivisor = 3

// timeLeft returns the time until the caller of a request leaves.
func (sim *Simulation) timeLeft(r *Request) time.Duration {
	return r.ArrivesAt.Add(r.Kind.Timeout).Sub(sim.now)
}

// Send sends a request to engine e, which copies shared parts from engine from if that is
// not nil. It returns false if the engine is full.
func (sim *Simulation) Send(r *Request, e, from *Engine) bool {
	r.tried = append(r.tried, e.endpoint.ID)
	sim.result.recordSend(sim, e)
	return e.submit(r, from)
}

// recordToken records a generated token and finishes the request after its last one.
func (sim *Simulation) recordToken(seq *Sequence) {
	r := seq.request
	if seq.generated == 1 {
		r.firstTokenAt = sim.now
		sim.policy.PrefillDone(r)
	}
	if seq.generated < r.AnswerTokens {
		return
	}
	seq.engine.remove(seq)
	sim.finish(r, Served)
	sim.policy.Finished(r, seq.engine)
}

// expire ends a request whose caller has waited for its timeout.
func (sim *Simulation) expire(r *Request) {
	if r.ended {
		return
	}
	sim.finish(r, TimedOut)
	seq := r.sequence
	if seq == nil {
		return
	}
	seq.engine.remove(seq)
	sim.result.WastedTokens += seq.prefilled + seq.generated
	sim.policy.Finished(r, seq.engine)
}

// finish records the outcome of a request.
func (sim *Simulation) finish(r *Request, outcome Outcome) {
	r.ended = true
	r.outcome = outcome
}

// meanLoad returns the mean number of requests at an engine.
func (sim *Simulation) meanLoad() float64 {
	total := 0
	for _, e := range sim.engines {
		total += e.load()
	}
	return float64(total) / float64(len(sim.engines))
}

// engine returns the engine with the given ID, nil if there is none.
func (sim *Simulation) engine(id string) *Engine {
	for _, e := range sim.engines {
		if e.endpoint.ID == id {
			return e
		}
	}
	return nil
}
