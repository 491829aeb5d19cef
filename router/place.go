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

// placePeriod is the time between two looks at the engines that this router
// manages. An engine that ignores fencing numbers and took an old order is put
// right within this time.
const placementPeriod = 5 * time.Second

// maxPlanAge is the longest time between a plan and its orders. A process that
// slept in between drops the plan.
const maxPlanAge = time.Second

// placer gives engines their orders.
type placer struct {
	orders     endpoint.Orderer
	scaler     *placement.Scaler
	storeShare *placement.WeightStoreLimiter
}

func newPlacer(orders endpoint.Orderer, limits settings.Limits) *placer {
	return &placer{
		orders:     orders,
		scaler:     placement.NewScaler(limits.EngineTokens),
		storeShare: placement.NewWeightStoreLimiter(limits.WeightLoadsPerMinute),
	}
}

// place looks after the engines that this router manages until ctx ends.
func (r *Router) runPlacement(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, placementPeriod)
		r.placeOnce(ctx, time.Now())
	}
}

// placeOnce compares every engine that this router manages with its desired
// state and orders what differs.
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

// newestRevision returns the newest revision that the snapshot shows. Documents
// that peers push may be ahead of the snapshot's own revision.
func newestRevision(snapshot *config.Snapshot) int64 {
	newest := snapshot.Revision
	for _, model := range snapshot.Models {
		newest = max(newest, model.Revision)
	}
	return newest
}

func modelGroups(snapshot *config.Snapshot) map[string]bool {
	groups := map[string]bool{}
	for _, model := range snapshot.Models {
		groups[model.Group] = true
	}
	return groups
}

// managed returns the engines of a group whose home is this router.
func (r *Router) managedEngines(view *member.View, group string) []source.VM {
	var managed []source.VM
	for _, vm := range view.Group(group) {
		if r.homeOf(view, vm.Address) == r.members.Self().Address {
			managed = append(managed, vm)
		}
	}
	return managed
}

func (r *Router) replicas(model config.Model, engines int, now time.Time) int {
	tokens := r.members.PeerLoad(model.Name, now).Tokens + r.loadTracker.LoadByModel()[model.Name].Tokens
	return r.placer.scaler.Replicas(model, engines, tokens, now)
}

func (r *Router) placeEngine(ctx context.Context, engine string, desired placement.DesiredState, fence int64, planned time.Time) {
	state, err := r.placer.orders.State(ctx, engine)
	if err != nil {
		klog.Infof("place: engine %s does not tell its state: %v.", engine, err)
		return
	}
	if desired.Matches(state) {
		return
	}
	models, reads := desired.NextStep(state)
	if reads && !r.placer.storeShare.Allow(len(r.members.View().Routers)) {
		klog.Infof("place: engine %s waits for the weight store.", engine)
		return
	}
	if clock.Gap(planned, time.Now()) > maxPlanAge {
		klog.Infof("place: the plan for engine %s is too old.", engine)
		return
	}
	order := endpoint.Order{Fence: fence, Models: models, Role: desired.Role}
	err = r.placer.orders.Order(ctx, engine, order)
	if code.Is(err, code.OrderRejected) {
		klog.Infof("place: engine %s refused the order %d: a newer one was given.", engine, fence)
		return
	}
	klog.Infof("place: engine %s is ordered to have %v, fencing number %d, was %v: %v.", engine, models, fence, state.Models, err)
}
