package gossip

import "time"

// IdleReset reports that an endpoint has reset a connection, which may have been idle. VMs relay the resets
// that others observed.
type IdleReset struct {
	// Endpoint and StartedMS identify the instance, Service is the name of its service.
	Endpoint  string
	StartedMS int64
	Service   string
	// IdleMS is how long the connection had been idle, 0 for a new one, AgeMS the time since the reset, in
	// milliseconds.
	IdleMS int64
	AgeMS  int64
}

// Age returns the time since the reset.
func (r *IdleReset) Age() time.Duration {
	return time.Duration(r.AgeMS) * time.Millisecond
}

// Limits on decoded resets.
const (
	maxIdleResets  = 64
	maxIdleResetMS = int64(24 * time.Hour / time.Millisecond)
)

// idleResets writes IdleResets.
func (w *wireWriter) idleResets(report *Report) {
	writeList(w, report.IdleResets, func(w *wireWriter, reset *IdleReset) {
		w.name(reset.Endpoint)
		w.number(reset.StartedMS)
		w.name(reset.Service)
		w.number(reset.IdleMS)
		w.number(reset.AgeMS)
	})
}

// idleResets reads IdleResets.
func (r *wireReader) idleResets(report *Report) {
	report.IdleResets = readList(r, maxIdleResets, func(r *wireReader, reset *IdleReset) {
		reset.Endpoint = r.name()
		reset.StartedMS = r.number()
		reset.Service = r.name()
		reset.IdleMS = r.numberInRange(0, maxIdleResetMS)
		reset.AgeMS = r.numberInRange(0, maxIdleResetMS)
	})
}
