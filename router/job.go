package router

import (
	"context"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/endpoint"
	"cardamompoint.example/cardamompoint/member"
)

// The bounds of one request's attempts.
const (
	maxStarts = 4
	maxAsked  = 20
	retryBusy = time.Second
)

// receiver takes an answer in progress.
type receiver interface {
	// started is called before the first token of each engine's part.
	started(engine, streamID string) error
	// token is called for each token in order.
	token(line endpoint.Line) error
	// finished is called after the last token.
	finished(final endpoint.Final) error
}

// job is one model request on its way through engines.
type job struct {
	router     *Router
	view       *member.View
	work       endpoint.Work
	candidates []candidate
	search     bool
	receiver   receiver

	delivered []string
	failed    map[string]bool
	starts    int
	announced string
}

// run asks the candidates in order until one has finished the answer. An
// engine that fails in mid-answer is left and the next one goes on from what
// was delivered.
func (j *job) run(ctx context.Context) error {
	j.failed = map[string]bool{}
	j.router.budget.first()
	for {
		err := j.runOnce(ctx)
		if err == nil {
			return nil
		}
		if !j.mayGoOn(ctx, err) {
			return j.finalError(ctx, err)
		}
		j.router.metrics.Retry()
	}
}

// runOnce finds an engine that admits the work and relays its answer.
func (j *job) runOnce(ctx context.Context) error {
	var last error
	order := newCandidateOrder(j)
	for c, ok := order.next(); ok; c, ok = order.next() {
		err := j.try(ctx, c)
		if err == nil || !notAdmitted(err) {
			return err
		}
		order.refused(err)
		last = err
	}
	if last == nil {
		return code.New(code.NoEndpoint, "all engines have failed").After(noEndpointRetry)
	}
	return code.New(code.Overloaded, "%d engines did not admit the request, the last with: %v", order.full, last).After(retryBusy)
}

func (j *job) try(ctx context.Context, c candidate) error {
	engine := c.vm.Address
	home := j.router.homeOf(j.view, engine)
	j.starts++
	work := j.work
	work.StreamID = fmt.Sprintf("%s.%d", j.work.RequestID, j.starts)
	work.Prefix = j.delivered
	order := workOrder{Engine: engine, Work: work, Lookup: c.lookup, DeadlineMS: timeLeft(ctx).Milliseconds()}
	klog.Infof("route: request %s of %s chat %s goes to engine %s by home %s, %s, attempt %d, offset %d.",
		work.RequestID, work.Workspace, work.Chat, engine, home, c.reason, j.starts, len(j.delivered))
	err := j.router.dispatch(ctx, home, order, func(line endpoint.Line) error {
		return j.take(engine, work.StreamID, line)
	})
	if err == nil {
		j.router.metrics.Decision("served")
		return nil
	}
	klog.Infof("route: request %s passes over engine %s: %v.", work.RequestID, engine, err)
	if notAdmitted(err) {
		j.router.metrics.Decision("passed_over")
		return err
	}
	j.router.metrics.Decision("failed")
	j.failed[engine] = true
	return err
}

func (j *job) take(engine, streamID string, line endpoint.Line) error {
	if j.announced != streamID {
		j.announced = streamID
		if err := j.receiver.started(engine, streamID); err != nil {
			return err
		}
	}
	if line.Final != nil {
		final := *line.Final
		final.Engine = engine
		return j.receiver.finished(final)
	}
	if line.Text == "" {
		return nil
	}
	if err := j.receiver.token(line); err != nil {
		return err
	}
	j.delivered = append(j.delivered, line.Text)
	return nil
}

// notAdmitted reports whether err proves that the engine did not start.
func notAdmitted(err error) bool {
	return code.Of(err).Run == code.RunNo
}

func (j *job) mayGoOn(ctx context.Context, err error) bool {
	if ctx.Err() != nil || notAdmitted(err) {
		return false
	}
	if len(j.failed) >= maxStarts {
		return false
	}
	return j.router.budget.take()
}

// finalError returns the result that the caller gets.
func (j *job) finalError(ctx context.Context, err error) error {
	if ctx.Err() == context.Canceled {
		return code.New(code.Canceled, "the caller left")
	}
	if ctx.Err() != nil {
		return code.New(code.DeadlineExceeded, "the deadline has passed").After(retryBusy)
	}
	if notAdmitted(err) && len(j.delivered) == 0 {
		return err
	}
	if len(j.delivered) > 0 {
		return code.New(code.AnswerIncomplete, "%d tokens were delivered: %v", len(j.delivered), err).After(retryBusy)
	}
	return code.New(code.RetryBudget, "no engine finished the request: %v", err).After(retryBusy).WithRun(code.RunPartial)
}

func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Hour
	}
	return time.Until(deadline)
}
