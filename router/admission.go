package router

import (
	"context"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/balance"
	"cardamompoint.example/cardamompoint/router/endpoint"
)

// admitWork reserves capacity for the work at an engine that this router manages.
// If the engine's load report is stale, it reads a new one and tries once more,
// unless the engine is known not to answer.
func (r *Router) admitWork(order workOrder) (*balance.Reservation, error) {
	if !r.members.View().Live(order.Engine) {
		return nil, code.New(code.EndpointLeaving, "the engine %s is not live", order.Engine)
	}
	reservation, err := r.tryAdmit(order)
	if !code.Is(err, code.ViewStale) || r.loadTracker.Unresponsive(order.Engine) {
		return reservation, err
	}
	r.pollShared(order.Engine)
	return r.tryAdmit(order)
}

// tryAdmit makes one attempt to reserve capacity, with the loads known now.
func (r *Router) tryAdmit(order workOrder) (*balance.Reservation, error) {
	now := time.Now()
	work := order.Work
	expected := r.estimator.Estimate(work.Workspace, work.Priority, work.MaxTokens)
	mean, projected, engines := r.meanTokens(work.Model, now)
	return r.admission.Admit(balance.Request{
		Engine:              order.Engine,
		Model:               work.Model,
		Workspace:           work.Workspace,
		ShareWeight:         r.shareWeight(work.Workspace),
		Priority:            work.Priority,
		Tokens:              max(1, expected-len(work.Prefix)),
		MeanTokens:          mean,
		EngineCount:         engines,
		ProjectedMeanTokens: projected,
		LastResort:          order.LastResort,
	}, r.assignment(order.Engine, now), now)
}

// shareWeight returns the weight of the workspace's fair share relative to other
// workspaces; 1 if it has no rules.
func (r *Router) shareWeight(workspace string) float64 {
	rules, err := r.store.Snapshot().Rules(workspace)
	if err != nil {
		return 1
	}
	return rules.Completion.Share
}

// generate sends admitted work to the engine. Immediately before, it checks again
// that this router may still act for the engine; if not, it returns an error with
// RunNo.
func (r *Router) generate(ctx context.Context, reservation *balance.Reservation, order workOrder, sink endpoint.Sink) error {
	now := time.Now()
	if err := r.admission.Confirm(reservation, r.assignment(order.Engine, now), now); err != nil {
		return err
	}
	return r.engine.Generate(ctx, order.Engine, order.Work, sink)
}

// releaseTokens returns a sink that releases the reserved capacity of each token as
// it is delivered.
func releaseTokens(reservation *balance.Reservation, sink endpoint.Sink) endpoint.Sink {
	return func(line endpoint.Line) error {
		if line.Text != "" {
			reservation.TokenDelivered()
		}
		return sink(line)
	}
}

// recordLength returns a sink that feeds the length of the answer to work into the
// estimator.
func (r *Router) recordLength(work endpoint.Work, sink endpoint.Sink) endpoint.Sink {
	return func(line endpoint.Line) error {
		if line.Final != nil {
			r.estimator.Observe(work.Workspace, work.Priority, line.Final.Tokens)
		}
		return sink(line)
	}
}

// meanTokens returns the mean number of tokens per engine of the model's group over
// the whole fleet, and the number of engines. The peers' loads are out of date;
// projected is the mean under the assumption that they have grown as much as this
// router's own.
func (r *Router) meanTokens(model string, now time.Time) (mean, projected float64, engines int) {
	declared, ok := r.store.Snapshot().Models[model]
	if !ok {
		return 0, 0, 0
	}
	view := r.members.View()
	engines = len(view.Group(declared.Group))
	if engines == 0 {
		return 0, 0, 0
	}
	tokens := r.members.PeerLoad(model, now).Tokens + r.loadTracker.LoadByModel()[model].Tokens
	growth := max(0, len(view.Routers)-1) * r.loadTracker.TokenGrowth(model, now)
	mean = float64(tokens) / float64(engines)
	return mean, mean + float64(growth)/float64(engines), engines
}
