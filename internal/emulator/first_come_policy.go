package emulator

// FirstComePolicy is a baseline that keeps one queue for all engines. The oldest request
// goes to the first engine with a free slot.
type FirstComePolicy struct {
	sim   *Simulation
	queue []*Request
}

// Name returns the policy's name in tables.
func (p *FirstComePolicy) Name() string { return "first come" }

// Start prepares the policy for a simulation.
func (p *FirstComePolicy) Start(sim *Simulation) { p.sim = sim }

// Place queues the request.
func (p *FirstComePolicy) Place(r *Request) {
	p.queue = append(p.queue, r)
	p.serve()
}

// PrefillDone does nothing.
func (p *FirstComePolicy) PrefillDone(*Request) {}

// Finished sends the next requests.
func (p *FirstComePolicy) Finished(*Request, *Engine) { p.serve() }

// serve sends queued requests while engines have free slots.
func (p *FirstComePolicy) serve() {
	for len(p.queue) > 0 {
		next := p.queue[0]
		if next.ended {
			p.queue = p.queue[1:]
			continue
		}
		engine := p.free()
		if engine == nil {
			return
		}
		p.queue = p.queue[1:]
		p.sim.Send(next, engine, nil)
	}
}

// free returns the first engine with a free slot, nil if there is none.
func (p *FirstComePolicy) free() *Engine {
	for _, e := range p.sim.engines {
		if e.load() < e.endpoint.Slots {
			return e
		}
	}
	return nil
}
