package emulator

// LeastLoadedPolicy is a baseline that knows the current load of all engines and takes
// the one with the fewest requests. It ignores prompts.
type LeastLoadedPolicy struct {
	sim *Simulation
}

// Name returns the policy's name in tables.
func (p *LeastLoadedPolicy) Name() string { return "least loaded" }

// Start prepares the policy for a simulation.
func (p *LeastLoadedPolicy) Start(sim *Simulation) { p.sim = sim }

// Place sends the request to the least loaded engine, or refuses it if that is full.
func (p *LeastLoadedPolicy) Place(r *Request) {
	least := p.sim.engines[0]
	for _, e := range p.sim.engines {
		if e.load() < least.load() {
			least = e
		}
	}
	if !p.sim.Send(r, least, nil) {
		p.sim.Refuse(r, 0)
	}
}

// PrefillDone does nothing.
func (p *LeastLoadedPolicy) PrefillDone(*Request) {}

// Finished does nothing.
func (p *LeastLoadedPolicy) Finished(*Request, *Engine) {}
