package router

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/router/config"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/member"
	"cardamompoint.example/cardamompoint/router/placement"
	"cardamompoint.example/cardamompoint/router/settings"
	"cardamompoint.example/cardamompoint/router/source"
)

// placementPeriod is the time between two checks of the engines that this router
// manages. An engine that ignores fencing tokens and accepted an outdated order is
// corrected within this time.
const placementPeriod = 5 * time.Second

// maxPlanAge is the longest time between a plan and its orders. A process that was
// suspended in between drops the plan.
const maxPlanAge = time.Second

// placer sends placement orders to engines.
type placer struct {
	orders             endpoint.Orderer
	scaler             *placement.Scaler
	weightStoreLimiter *placement.WeightStoreLimiter
}

// newPlacer returns a placer that sends its orders through orders.
func newPlacer(orders endpoint.Orderer, limits settings.Limits) *placer {
	return &placer{
		orders:             orders,
		scaler:             placement.NewScaler(limits.EngineTokens),
		weightStoreLimiter: placement.NewWeightStoreLimiter(limits.WeightLoadsPerMinute),
	}
}

// runPlacement checks the engines that this router manages periodically until ctx
// ends.
func (r *Router) runPlacement(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, placementPeriod)
		r.placeOnce(ctx, time.Now())
	}
}

// placeOnce compares the state of every engine that this router manages with the
// desired one and orders the difference.
func (r *Router) placeOnce(ctx context.Context, planned time.Time) {
	snapshot, view := r.store.Snapshot(), r.members.View()
	fence := placement.FencingToken(newestRevision(snapshot), view.List.Version)
	var engines sync.WaitGroup
	for group := range modelGroups(snapshot) {
		plan := placement.Plan(snapshot.Models, group, view.Group(group), func(model config.Model, engines int) int {
			return r.replicas(model, engines, planned)
		})
		for _, vm := range r.managedEngines(view, group) {
			engines.Go(func() { r.placeEngine(ctx, vm.Address, plan[vm.Address], fence, planned) })
		}
	}
	engines.Wait()
}

// newestRevision returns the highest revision in the snapshot. Documents pushed by
// peers may be ahead of the revision up to which the snapshot is complete.
func newestRevision(snapshot *config.Snapshot) int64 {
	newest := snapshot.Revision
	for _, model := range snapshot.Models {
		newest = max(newest, model.Revision)
	}
	return newest
}

// modelGroups returns the groups of all declared models.
func modelGroups(snapshot *config.Snapshot) map[string]bool {
	groups := map[string]bool{}
	for _, model := range snapshot.Models {
		groups[model.Group] = true
	}
	return groups
}

// managedEngines returns the engines of a group to which this router admits work.
func (r *Router) managedEngines(view *member.View, group string) []source.VM {
	var managed []source.VM
	for _, vm := range view.Group(group) {
		if r.homeOf(view, vm.Address) == r.members.Self().Address {
			managed = append(managed, vm)
		}
	}
	return managed
}

// replicas returns the number of engines that should have the model loaded, for its
// current load.
func (r *Router) replicas(model config.Model, engines int, now time.Time) int {
	tokens := r.members.PeerLoad(model.Name, now).Tokens + r.loadTracker.LoadByModel()[model.Name].Tokens
	return r.placer.scaler.Replicas(model, engines, tokens, now)
}

// placeEngine orders the next step from an engine's state to the desired one,
// unless the plan is too old.
func (r *Router) placeEngine(ctx context.Context, engine string, desired placement.DesiredState, fence int64, planned time.Time) {
	state, err := r.placer.orders.State(ctx, engine)
	if err != nil {
		klog.Infof("place: the state of engine %s can't be read: %v.", engine, err)
		return
	}
	if desired.Matches(state) {
		return
	}
	models, loads := desired.NextStep(state)
	if loads && !r.placer.weightStoreLimiter.Allow(len(r.members.View().Routers)) {
		klog.Infof("place: engine %s waits for the rate limit of the weight store.", engine)
		return
	}
	if clock.Gap(planned, time.Now()) > maxPlanAge {
		klog.Infof("place: the plan for engine %s is too old and is dropped.", engine)
		return
	}
	order := endpoint.Order{Fence: fence, Models: models, Role: desired.Role}
	err = r.placer.orders.Order(ctx, engine, order)
	if code.Is(err, code.OrderRejected) {
		klog.Infof("place: engine %s rejected the order with fencing token %d, since it has a newer one.", engine, fence)
		return
	}
	klog.Infof("place: engine %s is ordered to load %v with fencing token %d, had %v: %v.", engine, models, fence, state.Models, err)
}

// poolOf returns the engines that should have the model loaded, as far as this
// router knows its load. Before the first placement plan, these are all engines
// that may have it.
func (r *Router) poolOf(view *member.View, model config.Model) *member.Pool {
	replicas, known := r.placer.scaler.CurrentReplicas(model.Name)
	if !known {
		replicas = model.Max
	}
	return r.modelPools.Find(view, model, replicas)
}
