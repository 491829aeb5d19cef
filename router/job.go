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

// The bounds of one request's attempts.
const (
	maxFailedEngines = 4
	maxRefusals      = 20
	busyRetryAfter   = time.Second
	readmitPause     = 200 * time.Millisecond
)

// job is one model request on its way through engines.
type job struct {
	router     *Router
	work       endpoint.Work
	candidates []candidate
	// search tells whether the chat's context is looked for.
	searchContext bool
	receiver      receiver

	delivered     []string
	failedEngines map[string]bool
	lostHomes     map[string]bool
	attempts      int
	current       attempt
	// lastTime is when the last token came, or when the request came.
	lastTokenAt time.Time
	// begun tells that a token came.
	started bool
	// leftErr is the receiver's error, after which nobody waits for the answer.
	receiverErr error
}

// run asks the candidates in order until one has finished the answer. An
// engine that fails in mid-answer is left and the next one goes on from what
// was delivered.
func (j *job) run(ctx context.Context) error {
	j.failedEngines = map[string]bool{}
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

// abandon cancels the stream of an answer that nobody can come back for.
func (j *job) cancelAbandoned() {
	last := j.current
	if j.receiver.resumable() || last.streamID == "" {
		return
	}
	j.router.tasks.Go(func() {
		_ = j.router.requestCancel(context.Background(), last.home, last.key(j))
	})
}

// waitForRoom waits before the engines are asked again for a begun answer.
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
		if err == nil || !notAdmitted(err) {
			return err
		}
		order.recordRefusal(err)
		last = err
	}
	if last == nil {
		return code.New(code.NoEndpoint, "all engines have failed").After(noEndpointRetryAfter)
	}
	if code.Is(last, code.WorkspaceShare) {
		return last
	}
	return code.New(code.Overloaded, "%d engines did not admit the request, the last with: %v", order.refusals, last).After(busyRetryAfter)
}

// try runs the work at one engine. A lost home does not speak against the
// engine: the same stream goes on without it.
func (j *job) tryCandidate(ctx context.Context, c candidate) error {
	at, err := j.dispatch(ctx, c)
	if j.homeLost(ctx, at, err) {
		at, err = j.continueWithoutHome(ctx, c, at, err)
	}
	if err == nil {
		j.router.metrics.CountDecision("served")
		return nil
	}
	klog.Infof("route: request %s passes over engine %s: %v.", j.work.RequestID, at.engine, err)
	if notAdmitted(err) {
		j.router.metrics.CountDecision("passed_over")
		return err
	}
	j.router.metrics.CountDecision("failed")
	j.failedEngines[at.engine] = true
	return err
}

// dispatch starts a stream for the rest of the answer at one engine.
func (j *job) dispatch(ctx context.Context, c candidate) (attempt, error) {
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
	klog.Infof("route: request %s of %s chat %s goes to engine %s by home %s, %s, attempt %d, offset %d.",
		work.RequestID, work.Workspace, work.Chat, at.engine, at.home, c.reason, j.attempts, len(j.delivered))
	return at, j.router.dispatch(ctx, at.home, order, j.sink(at))
}

// homeOf returns the router that counts the engine's work, or its backup if
// that router was lost during the request or is this one and shuts down.
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

// homeLost reports whether err tells that another router was lost on the way.
func (j *job) homeLost(ctx context.Context, at attempt, err error) bool {
	if ctx.Err() != nil || at.home == j.router.members.Self().Address {
		return false
	}
	return endpoint.IsConnectionError(err)
}

// goOnWithoutHome goes on with a stream whose home was lost: this router
// counts it from now on and reads the rest from the engine. A stream that the
// engine does not know is started again.
func (j *job) continueWithoutHome(ctx context.Context, c candidate, at attempt, lost error) (attempt, error) {
	j.lostHomes[at.home] = true
	klog.Infof("route: request %s goes on at engine %s without home %s: %v.", j.work.RequestID, at.engine, at.home, lost)
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

// measureToken counts the wait for the token that came at now.
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

// notAdmitted reports whether err proves that the engine did not start.
func notAdmitted(err error) bool {
	return code.Of(err).Run == code.RunNo
}

// mayGoOn reports whether the request is tried again after err. An answer that
// has begun is finished whatever the retry budget says, since its caller was
// accepted; the engines' caps and maxStarts bound the load.
func (j *job) mayRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || j.receiverErr != nil || code.Is(err, code.Canceled) {
		return false
	}
	if len(j.failedEngines) >= maxFailedEngines || len(j.failedEngines) == len(j.candidates) {
		return false
	}
	if j.started {
		return true
	}
	return !notAdmitted(err) && j.router.retryBudget.takeRetry()
}

// finalError returns the result that the caller gets.
func (j *job) finalError(ctx context.Context, err error) error {
	if ctx.Err() == context.Canceled || j.receiverErr != nil {
		return code.New(code.Canceled, "the caller left")
	}
	if ctx.Err() != nil {
		return code.New(code.DeadlineExceeded, "the deadline has passed").After(busyRetryAfter)
	}
	if code.Is(err, code.Canceled) {
		return err
	}
	if notAdmitted(err) && !j.started {
		return err
	}
	if j.started {
		return code.New(code.AnswerIncomplete, "%d tokens were delivered: %v", len(j.delivered), err).After(busyRetryAfter)
	}
	return code.New(code.RetryBudget, "no engine finished the request: %v", err).After(busyRetryAfter).WithRun(code.RunPartial)
}

func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Hour
	}
	return time.Until(deadline)
}
