package endpoint

import (
	"context"
	"time"

	"cardamompoint.example/cardamompoint/code"
)

// watchdog abandons an answer that delivers no line or no token in time. Its
// timers run only while the reader waits for a line. It is not safe for
// concurrent use.
type watchdog struct {
	silenceTimeout, stallTimeout time.Duration

	silenceTimer *time.Timer
	stallTimer   *time.Timer
	// stallRemaining is the remaining time for the next token.
	stallRemaining time.Duration
	// waitingSince is when the timers were last started.
	waitingSince time.Time
}

// newWatchdog returns a watchdog with running timers, which calls abandon on a
// timeout. The first line may take firstLineTimeout, each further line
// silenceTimeout and each token stallTimeout. A stallTimeout of 0 means no limit
// for tokens.
func newWatchdog(firstLineTimeout, silenceTimeout, stallTimeout time.Duration, abandon context.CancelCauseFunc) *watchdog {
	w := &watchdog{silenceTimeout: silenceTimeout, stallTimeout: stallTimeout, stallRemaining: stallTimeout, waitingSince: time.Now()}
	w.silenceTimer = time.AfterFunc(firstLineTimeout, func() {
		abandon(&ConnectionError{code.New(code.EndpointFault, "the endpoint sent no line in time")})
	})
	if stallTimeout > 0 {
		w.stallTimer = time.AfterFunc(stallTimeout, func() {
			abandon(code.New(code.EndpointFault, "the endpoint sent no token for %v", stallTimeout))
		})
	}
	return w
}

// stop stops the timers.
func (w *watchdog) stop() {
	w.silenceTimer.Stop()
	if w.stallTimer == nil {
		return
	}
	w.stallTimer.Stop()
	w.stallRemaining -= time.Since(w.waitingSince)
}

// resetStall restores the full time for the next token.
func (w *watchdog) resetStall() {
	w.stallRemaining = w.stallTimeout
}

// start starts the timers for the next line.
func (w *watchdog) start() {
	w.silenceTimer.Reset(w.silenceTimeout)
	if w.stallTimer == nil {
		return
	}
	w.waitingSince = time.Now()
	w.stallTimer.Reset(max(0, w.stallRemaining))
}
