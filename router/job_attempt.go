package router

import (
	"context"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/endpoint"
)

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
// draining. A backup that stands for its home and was lost is asked again, as no
// other router may admit work to the engine.
func (j *job) homeOf(engine string) string {
	r, view := j.router, j.router.members.View()
	admitting, self := r.homeOf(view, engine), r.members.Self().Address
	if !j.lostHomes[admitting] && (admitting != self || !r.draining.Load()) {
		return admitting
	}
	set := r.setHistory.Update(view, time.Now())
	if backup := set.BackupOf(set.HomeOf(engine)); backup != "" {
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
