package router

import (
	"context"
	"fmt"
	"time"

	"k8s.io/klog/v2"

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
	// current is the attempt that the receiver was last told of.
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

// tryCandidate runs the work at one engine. If the engine's home is lost, the same
// stream continues without it; that does not count as a failure of the engine.
func (j *job) tryCandidate(ctx context.Context, c candidate) error {
	at, err := j.dispatch(ctx, c)
	if j.homeLost(ctx, at, err) {
		at, err = j.continueWithoutHome(ctx, c, at, err)
	}
	if err == nil {
		j.router.metrics.CountDecision("served")
		return nil
	}
	klog.Infof("route: request %s is not served by engine %s: %v.", j.work.RequestID, at.engine, err)
	if code.Is(err, code.CrashingPrompt) {
		j.crashedEngines[at.engine] = true
	}
	if notAdmitted(err) {
		j.router.metrics.CountDecision("passed_over")
		return err
	}
	j.router.metrics.CountDecision("failed")
	j.failedEngines[at.engine] = true
	return err
}

// checkLateStart refuses to begin the answer late in a shutdown. An answer that has started goes on.
func (j *job) checkLateStart(ctx context.Context) error {
	if j.started {
		return nil
	}
	return j.router.checkLateStart(ctx)
}

// dispatch starts a stream at one engine for the rest of the answer.
func (j *job) dispatch(ctx context.Context, c candidate) (attempt, error) {
	if err := j.checkLateStart(ctx); err != nil {
		return attempt{engine: c.vm.Address}, err
	}
	j.attempts++
	at := attempt{
		engine:   c.vm.Address,
		home:     j.homeOf(c.vm.Address),
		streamID: fmt.Sprintf("%s.%d", j.work.RequestID, j.attempts),
	}
	work := j.work
	work.StreamID = at.streamID
	work.Prefix = j.delivered
	order := workOrder{Engine: at.engine, Work: work, Lookup: c.lookup, LastResort: c.lastResort, DeadlineMS: timeLeft(ctx).Milliseconds()}
	klog.Infof("route: request %s of %s chat %s goes to engine %s through home %s, %s, attempt %d, offset %d.",
		work.RequestID, work.Workspace, work.Chat, at.engine, at.home, c.reason, j.attempts, len(j.delivered))
	return at, j.router.dispatch(ctx, at.home, order, j.sink(at))
}

// homeOf returns the router to which the engine's work is sent: its home, or the
// home's backup if the home was lost during the request or is this router and is
// draining.
func (j *job) homeOf(engine string) string {
	r, view := j.router, j.router.members.View()
	home, self := r.homeOf(view, engine), r.members.Self().Address
	if !j.lostHomes[home] && (home != self || !r.draining.Load()) {
		return home
	}
	if backup := r.setHistory.update(view, time.Now()).backupOf(home); backup != "" {
		return backup
	}
	return self
}

// homeLost reports whether err means that the connection to another router, the
// attempt's home, was lost.
func (j *job) homeLost(ctx context.Context, at attempt, err error) bool {
	if ctx.Err() != nil || at.home == j.router.members.Self().Address {
		return false
	}
	return endpoint.IsConnectionError(err)
}

// continueWithoutHome continues a stream whose home was lost: this router accounts
// for it from now on and reads the rest from the engine. If the engine does not
// know the stream, a new one is started.
func (j *job) continueWithoutHome(ctx context.Context, c candidate, at attempt, lost error) (attempt, error) {
	j.lostHomes[at.home] = true
	klog.Infof("route: request %s continues at engine %s without home %s: %v.", j.work.RequestID, at.engine, at.home, lost)
	if notAdmitted(lost) {
		return j.dispatch(ctx, c)
	}
	j.router.takeOver(at.home, at.key(j))
	at.home = j.router.members.Self().Address
	order := resumeOrder{Stream: at.id(j), Offset: len(j.delivered)}
	err := j.router.resumeAtHome(ctx, order, j.sink(at))
	if !code.Is(err, code.UnknownStream) || !j.mayRetry(ctx, err) {
		return at, err
	}
	return j.dispatch(ctx, c)
}

// sink returns the sink for the lines of one attempt.
func (j *job) sink(at attempt) endpoint.Sink {
	return func(line endpoint.Line) error {
		j.receiverErr = j.handleLine(at, line)
		return j.receiverErr
	}
}

// handleLine passes a line of an attempt to the receiver.
func (j *job) handleLine(at attempt, line endpoint.Line) error {
	if j.current != at {
		j.current = at
		if err := j.receiver.started(at); err != nil {
			return err
		}
	}
	if line.Final != nil {
		final := *line.Final
		final.Engine = at.engine
		return j.receiver.finished(final)
	}
	if line.Text == "" {
		return j.receiver.alive()
	}
	if err := j.receiver.token(line); err != nil {
		return err
	}
	j.delivered = append(j.delivered, line.Text)
	j.recordTokenLatency(time.Now())
	return nil
}

// recordTokenLatency records the time from the previous token, or from the start of
// the request, to the token that arrived at now.
func (j *job) recordTokenLatency(now time.Time) {
	wait := now.Sub(j.lastTokenAt)
	j.lastTokenAt = now
	if j.started {
		j.router.metrics.ObserveTokenGap(wait)
		return
	}
	j.started = true
	j.router.metrics.ObserveFirstToken(wait)
}

// crashesEngines reports whether so many engines crashed under the chat that no other one may
// get it.
func (j *job) crashesEngines() bool {
	return len(j.crashedEngines) >= maxCrashedEngines
}

// notAdmitted reports whether err guarantees that the engine did not start the
// work.
func notAdmitted(err error) bool {
	return code.Of(err).Run == code.RunNo
}

// mayRetry reports whether the request is tried again after err. A started answer
// is continued regardless of the retry budget, since its caller was already
// admitted; the engines' caps and maxFailedEngines bound the additional load.
func (j *job) mayRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || j.receiverErr != nil || code.Is(err, code.Canceled) {
		return false
	}
	if j.crashesEngines() || len(j.failedEngines) >= maxFailedEngines || len(j.failedEngines) == len(j.candidates) {
		return false
	}
	if j.started {
		return true
	}
	return !notAdmitted(err) && j.router.retryBudget.takeRetry()
}

// finalError returns the error that the caller gets after the last attempt failed
// with err.
func (j *job) finalError(ctx context.Context, err error) error {
	if ctx.Err() == context.Canceled || j.receiverErr != nil {
		return code.New(code.Canceled, "the caller disconnected")
	}
	if ctx.Err() != nil {
		return code.New(code.DeadlineExceeded, "the deadline has passed").After(busyRetryAfter)
	}
	if code.Is(err, code.Canceled) {
		return err
	}
	if code.Is(err, code.CrashingPrompt) && !j.started && (j.crashesEngines() || notAdmitted(err)) {
		return j.crashError()
	}
	if notAdmitted(err) && !j.started {
		return j.withFailedAttempts(err)
	}
	if j.started {
		return code.New(code.AnswerIncomplete, "the answer failed after %d tokens: %v", len(j.delivered), err).After(busyRetryAfter)
	}
	return code.New(code.RetryBudget, "no engine finished the request: %v", err).After(busyRetryAfter).WithRun(code.RunPartial)
}

// crashError returns the error for a chat under which engines crash.
func (j *job) crashError() error {
	return j.withFailedAttempts(crashingPrompt("%d engines crashed before they answered the chat", len(j.crashedEngines)))
}

// withFailedAttempts returns a copy of err that does not say code.RunNo if an engine may have
// started the work.
func (j *job) withFailedAttempts(err error) error {
	coded := *code.Of(err)
	if len(j.failedEngines) > 0 {
		coded.Run = code.RunPartial
	}
	return &coded
}

// timeLeft returns the time until the deadline of ctx; one hour if it has none.
func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Hour
	}
	return time.Until(deadline)
}
