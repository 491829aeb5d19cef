package emulator

// LeastLoadedWay knows all loads at once and takes the engine with the fewest
// requests. It knows nothing of prompts.
type LeastLoadedWay struct {
	fleet *Fleet
}

// Name returns the way's name in tables.
func (w *LeastLoadedWay) Name() string { return "least loaded" }

// Start prepares the way for a fleet.
func (w *LeastLoadedWay) Start(f *Fleet) { w.fleet = f }

// Offer sends the request on or refuses it.
func (w *LeastLoadedWay) Offer(r *Request) {
	least := w.fleet.engines[0]
	for _, e := range w.fleet.engines {
		if e.load() < least.load() {
			least = e
		}
	}
	if !w.fleet.Send(r, least, nil) {
		w.fleet.Refuse(r)
	}
}

// Read needs nothing.
func (w *LeastLoadedWay) Read(*Request) {}

// Ended needs nothing.
func (w *LeastLoadedWay) Ended(*Request, *Engine) {}
