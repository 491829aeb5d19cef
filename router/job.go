package router

import (
	"context"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/router/endpoint"
)

// Limits of the attempts of one request.
const (
	// maxFailedEngines is the number of engines that may fail one request after
	// admitting it.
	maxFailedEngines = 4
	// maxRefusals is the number of engines that may refuse one attempt before the
	// full ones are asked again as a last resort.
	maxRefusals = 20
	// busyRetryAfter is when a caller should retry after a refusal or a failure.
	busyRetryAfter = time.Second
	// readmitPause is the pause before all candidates are asked again to continue a
	// started answer.
	readmitPause = 200 * time.Millisecond
)

// job is one model request and the state of its attempts.
type job struct {
	router     *Router
	work       endpoint.Work
	candidates []candidate
	// searchContext reports whether the engine that has the chat's context is
	// searched for.
	searchContext bool
	receiver      receiver

	// delivered are the tokens that the receiver has.
	delivered []string
	// failedEngines are the engines at which an attempt failed that may have
	// started.
	failedEngines map[string]bool
	// crashedEngines are the engines that crashed under the chat, now or before.
	crashedEngines map[string]bool
	// lostHomes are the homes that were lost during the request.
	lostHomes map[string]bool
	// attempts counts the streams that were started.
	attempts int
	// current is the attempt that sent the last line to the receiver.
	current attempt
	// lastTokenAt is when the last token arrived; before the first one, when the
	// request started.
	lastTokenAt time.Time
	// started reports whether a token has arrived.
	started bool
	// receiverErr is the receiver's error, after which nobody waits for the answer.
	receiverErr error
}

// run tries the candidates until one has completed the answer. If an engine fails
// in the middle of the answer, the next one continues after the tokens delivered so
// far.
func (j *job) run(ctx context.Context) error {
	j.failedEngines = map[string]bool{}
	j.crashedEngines = map[string]bool{}
	j.lostHomes = map[string]bool{}
	j.lastTokenAt = time.Now()
	j.router.retryBudget.recordRequest()
	for {
		err := j.runOnce(ctx)
		if err == nil {
			return nil
		}
		if !j.mayRetry(ctx, err) {
			j.cancelAbandoned()
			return j.finalError(ctx, err)
		}
		if notAdmitted(err) {
			j.pauseBeforeReadmission(ctx)
			continue
		}
		j.router.metrics.CountRetry()
	}
}

// cancelAbandoned cancels the stream of an answer that the caller can't resume.
func (j *job) cancelAbandoned() {
	last := j.current
	if j.receiver.resumable() || last.streamID == "" {
		return
	}
	j.router.tasks.Go(func() {
		_ = j.router.requestCancel(context.Background(), last.home, last.key(j))
	})
}

// pauseBeforeReadmission waits before the candidates are asked again to continue a
// started answer, and checks that the receiver is still there.
func (j *job) pauseBeforeReadmission(ctx context.Context) {
	clock.Sleep(ctx, readmitPause)
	j.receiverErr = j.receiver.alive()
}

// runOnce finds an engine that admits the work and relays its answer.
func (j *job) runOnce(ctx context.Context) error {
	var last error
	order := newCandidateOrder(j)
	for c, ok := order.next(); ok; c, ok = order.next() {
		err := j.tryCandidate(ctx, c)
		if err == nil || !notAdmitted(err) || j.crashesEngines() || j.checkLateStart(ctx) != nil {
			return err
		}
		order.recordRefusal(err)
		last = err
	}
	if last == nil {
		return code.New(code.NoEndpoint, "all candidate engines have failed").After(noEndpointRetryAfter)
	}
	if code.Is(last, code.WorkspaceShare) || code.Is(last, code.CrashingPrompt) {
		return last
	}
	return code.New(code.Overloaded, "%d engines did not admit the request, last error: %v", order.refusals, last).After(busyRetryAfter)
}
