package emulator

import "time"

// PerfectPolicy is a baseline that knows the cache, the running requests and the queue of
// every engine, and takes the engine at which the request costs least.
type PerfectPolicy struct {
	sim *Simulation
}

// Name returns the policy's name in tables.
func (p *PerfectPolicy) Name() string { return "perfect knowledge" }

// Start prepares the policy for a simulation.
func (p *PerfectPolicy) Start(sim *Simulation) { p.sim = sim }

// Place sends the request to the cheapest engine, or refuses it if none is below the load
// bound and has room.
func (p *PerfectPolicy) Place(r *Request) {
	bound := loadMultiple*p.sim.meanLoad() + loadSlack
	var best *Engine
	var lowest time.Duration
	for _, e := range p.sim.engines {
		if float64(e.load()) >= bound || len(e.running) >= e.endpoint.Slots && len(e.queue) >= e.maxQueue {
			continue
		}
		if cost := p.cost(e, r); best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	if best == nil || !p.sim.Send(r, best, nil) {
		p.sim.Refuse(r, 0)
	}
}

// cost returns the time until the prompt is prefilled, plus the weighted engine time that
// prefilling shared parts again takes from other requests. Shared parts that a running
// request is prefilling count as cached.
func (p *PerfectPolicy) cost(e *Engine, r *Request) time.Duration {
	missing := e.cache.missingTokens(r.sharedParts())
	for _, seq := range e.running {
		if seq.prefillLeft > 0 && seq.request.Prompt.Parts[1].ID == r.Prompt.Parts[1].ID {
			missing = 0
		}
	}
	backlog := 0
	for _, seq := range e.running {
		backlog += seq.prefillLeft
	}
	for _, seq := range e.queue {
		backlog += e.cache.missingTokens(seq.request.sharedParts()) + seq.request.UniqueTokens
	}
	wait := time.Duration(backlog+missing+r.UniqueTokens) * prefillTokenTime
	recompute := time.Duration(missing) * prefillTokenTime * recomputeWeight
	return wait + recompute + time.Duration(e.load())*loadCost
}

const (
	// recomputeWeight is the weight of engine time relative to a caller's wait.
	recomputeWeight = 10
	// loadCost is the cost of each request that is at the engine already.
	loadCost = 2 * time.Millisecond
)

// PrefillDone does nothing.
func (p *PerfectPolicy) PrefillDone(*Request) {}

// Finished does nothing.
func (p *PerfectPolicy) Finished(*Request, *Engine) {}
