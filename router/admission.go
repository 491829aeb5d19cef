package router

import (
	"time"

	"cardamompoint.example/cardamompoint/balance"
	"cardamompoint.example/cardamompoint/code"
)

// admitWork holds room for the work at an engine that this router manages.
func (r *Router) admitWork(order workOrder) (*balance.Reservation, error) {
	if !r.members.View().Live(order.Engine) {
		return nil, code.New(code.EndpointLeaving, "the engine %s is not live", order.Engine)
	}
	return r.ledger.Reserve(balance.Request{
		Engine:     order.Engine,
		Model:      order.Work.Model,
		Workspace:  order.Work.Workspace,
		Priority:   order.Work.Priority,
		Tokens:     order.Work.MaxTokens - len(order.Work.Prefix),
		MeanTokens: r.meanTokens(order.Work.Model),
	})
}

// meanTokens returns the mean load of the model's engines over the fleet.
func (r *Router) meanTokens(model string) float64 {
	declared, ok := r.store.Snapshot().Models[model]
	if !ok {
		return 0
	}
	engines := len(r.members.View().Group(declared.Group))
	if engines == 0 {
		return 0
	}
	tokens := r.members.Sum(model, time.Now()).Tokens + r.ledger.Sums()[model].Tokens
	return float64(tokens) / float64(engines)
}
