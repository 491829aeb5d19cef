package emulator

// FirstComeWay keeps one queue for all engines. Whoever came first goes to the first
// engine with a free slot.
type FirstComeWay struct {
	fleet *Fleet
	queue []*Request
}

// Name returns the way's name in tables.
func (w *FirstComeWay) Name() string { return "first come" }

// Start prepares the way for a fleet.
func (w *FirstComeWay) Start(f *Fleet) { w.fleet = f }

// Offer lets a request wait.
func (w *FirstComeWay) Offer(r *Request) {
	w.queue = append(w.queue, r)
	w.serve()
}

// Read needs nothing.
func (w *FirstComeWay) Read(*Request) {}

// Ended lets the next one go.
func (w *FirstComeWay) Ended(*Request, *Engine) { w.serve() }

func (w *FirstComeWay) serve() {
	for len(w.queue) > 0 {
		next := w.queue[0]
		if next.ended {
			w.queue = w.queue[1:]
			continue
		}
		free := w.free()
		if free == nil {
			return
		}
		w.queue = w.queue[1:]
		w.fleet.Send(next, free, nil)
	}
}

func (w *FirstComeWay) free() *Engine {
	for _, e := range w.fleet.engines {
		if e.load() < e.endpoint.Slots {
			return e
		}
	}
	return nil
}
