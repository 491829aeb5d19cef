package endpoint

import (
	"context"
	"time"

	"cardamompoint.example/cardamompoint/code"
)

// watchdog abandons an answer that stays silent or makes no token. Its clock
// runs only while the reader waits for a line. It is used by one goroutine.
type watchdog struct {
	silence, stall time.Duration

	silent  *time.Timer
	stalled *time.Timer
	// left is what is left of the time for the next token.
	left time.Duration
	// waiting is when the clock was started.
	waiting time.Time
}

// newWatchdog returns a watchdog whose clock runs. The first line may take
// first, each later one silence and each token stall; a stall of 0 means no
// bound for tokens.
func newWatchdog(first, silence, stall time.Duration, abandon context.CancelCauseFunc) *watchdog {
	w := &watchdog{silence: silence, stall: stall, left: stall, waiting: time.Now()}
	w.silent = time.AfterFunc(first, func() {
		abandon(&ConnectionError{code.New(code.EndpointFault, "no line came in time")})
	})
	if stall > 0 {
		w.stalled = time.AfterFunc(stall, func() {
			abandon(code.New(code.EndpointFault, "no token came for %v", stall))
		})
	}
	return w
}

// stop stops the clock.
func (w *watchdog) stop() {
	w.silent.Stop()
	if w.stalled == nil {
		return
	}
	w.stalled.Stop()
	w.left -= time.Since(w.waiting)
}

// token gives the next token its whole time.
func (w *watchdog) token() {
	w.left = w.stall
}

// start starts the clock for the next line.
func (w *watchdog) start() {
	w.silent.Reset(w.silence)
	if w.stalled == nil {
		return
	}
	w.waiting = time.Now()
	w.stalled.Reset(max(0, w.left))
}
