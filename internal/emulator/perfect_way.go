package emulator

import "time"

// PerfectWay knows what every engine has in memory, reads and has to do, and takes the
// one at which the request costs least.
type PerfectWay struct {
	fleet *Fleet
}

// Name returns the way's name in tables.
func (w *PerfectWay) Name() string { return "perfect knowledge" }

// Start prepares the way for a fleet.
func (w *PerfectWay) Start(f *Fleet) { w.fleet = f }

// Offer sends the request on, or refuses it if no engine has room.
func (w *PerfectWay) Offer(r *Request) {
	bound := loadMultiple*w.fleet.meanLoad() + loadSlack
	var best *Engine
	var least time.Duration
	for _, e := range w.fleet.engines {
		if float64(e.load()) >= bound || len(e.running) >= e.endpoint.Slots && len(e.queue) >= e.queueLen {
			continue
		}
		if cost := w.cost(e, r); best == nil || cost < least {
			best, least = e, cost
		}
	}
	if best == nil || !w.fleet.Send(r, best, nil) {
		w.fleet.Refuse(r)
	}
}

// cost is the time until the prompt is read, and what reading shared parts once more
// takes from others.
func (w *PerfectWay) cost(e *Engine, r *Request) time.Duration {
	missing := e.memory.missing(r.shared())
	for _, run := range e.running {
		if run.unread > 0 && run.request.Prompt.Parts[1].ID == r.Prompt.Parts[1].ID {
			missing = 0
		}
	}
	backlog := 0
	for _, run := range e.running {
		backlog += run.unread
	}
	for _, run := range e.queue {
		backlog += e.memory.missing(run.request.shared()) + run.request.Own
	}
	wait := time.Duration(backlog+missing+r.Own) * readTokenTime
	again := time.Duration(missing) * readTokenTime * readAgainWeight
	return wait + again + time.Duration(e.load())*loadCost
}

const (
	// readAgainWeight weighs engine time against a caller's wait.
	readAgainWeight = 10
	// loadCost is what one request more at an engine costs the others.
	loadCost = 2 * time.Millisecond
)

// Read needs nothing.
func (w *PerfectWay) Read(*Request) {}

// Ended needs nothing.
func (w *PerfectWay) Ended(*Request, *Engine) {}
