package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/router/balance"
	"cardamompoint.example/cardamompoint/router/member"
	"cardamompoint.example/cardamompoint/router/source"
)

const (
	// maxPollsPerPeriod bounds the load reports that are read in one period, so
	// that the traffic does not grow with the number of engines.
	maxPollsPerPeriod = 8
	// pollJitter is the largest fraction by which a period is randomly shortened or
	// extended.
	pollJitter = 0.2
	// pollTimeout bounds one read of a load report.
	pollTimeout = 500 * time.Millisecond
)

// loadPoller determines whose load report is read next. It is used by one goroutine
// only.
type loadPoller struct {
	// version is the version of the last list; 0 before the first one.
	version int64
	// listed are the engines of the last list.
	listed map[string]bool
	// engines are the live engines whose home or backup is this router.
	engines []engineRole
	// polled counts the reports that were read.
	polled int
}

// engineRole is this router's role for one engine, according to the list.
type engineRole struct {
	engine string
	home   string
	role   balance.Role
}

// pollLoads reads the load reports of the engines that this router manages, until
// ctx ends.
func (r *Router) pollLoads(ctx context.Context) {
	poller := &loadPoller{}
	for ctx.Err() == nil {
		if r.synced.Load() {
			r.recordListSpread(time.Now())
			r.pollRound(ctx, poller)
		}
		clock.Sleep(ctx, withJitter(milliseconds(r.settings.Timing.LoadReportMS)))
	}
}

// withJitter returns period, randomly shortened or extended by up to pollJitter.
func withJitter(period time.Duration) time.Duration {
	return time.Duration(float64(period) * (1 + pollJitter*(2*rand.Float64()-1)))
}

// pollRound reads the load reports of the next engines in round-robin order.
func (r *Router) pollRound(ctx context.Context, poller *loadPoller) {
	now, view := time.Now(), r.members.View()
	poller.update(r, view, now)
	engines := poller.activeEngines(r.members, now)
	r.loadTracker.Prune(func(engine string) bool { return slices.Contains(engines, engine) })
	if len(engines) == 0 {
		return
	}
	var polls sync.WaitGroup
	for range min(maxPollsPerPeriod, len(engines)) {
		engine := engines[poller.polled%len(engines)]
		poller.polled++
		polls.Go(func() { r.pollLoad(ctx, engine) })
	}
	polls.Wait()
}

// update applies a new list.
func (p *loadPoller) update(r *Router, view *member.View, now time.Time) {
	if view.List.Version == p.version {
		return
	}
	set, self := r.setHistory.Update(view, now), r.members.Self().Address
	listed, first := map[string]bool{}, p.version == 0
	p.engines = nil
	for _, vm := range view.List.VMs {
		if vm.Role != source.RoleEngine {
			continue
		}
		listed[vm.Address] = true
		role, home := set.RoleOf(self, vm.Address)
		if !first && !p.listed[vm.Address] && role != balance.RoleNone {
			klog.Infof("place: engine %s is new and gets a slow start.", vm.Address)
			r.loadTracker.EngineAdded(vm.Address, now)
		}
		if role != balance.RoleNone && vm.State == source.StateLive {
			p.engines = append(p.engines, engineRole{engine: vm.Address, home: home, role: role})
		}
	}
	p.version, p.listed = view.List.Version, listed
}

// activeEngines returns the engines to which this router admits work at now: those
// whose home it is, and those whose backup it is while their home is not alive.
func (p *loadPoller) activeEngines(members *member.Table, now time.Time) []string {
	var engines []string
	for _, d := range p.engines {
		if d.role == balance.RoleHome || members.Health(d.home, now) != member.HealthAlive {
			engines = append(engines, d.engine)
		}
	}
	return engines
}

// pollShared reads an engine's load report for an admission decision that waits for
// it. Concurrent callers for one engine share one read.
func (r *Router) pollShared(engine string) {
	r.loadPolls.Do(engine, func() (any, error) {
		r.pollLoad(context.Background(), engine)
		return nil, nil
	})
}

// pollLoad reads one engine's load report into the load tracker.
func (r *Router) pollLoad(ctx context.Context, engine string) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sequence, sampledAt := r.loadTracker.StartReport(engine), time.Now()
	load, err := r.loadClient.Load(ctx, engine)
	if err != nil {
		down := r.loadTracker.RecordReportFailure(engine)
		klog.Infof("place: the load of engine %s can't be read, down %t: %v.", engine, down, err)
		return
	}
	r.loadTracker.RecordReport(engine, sequence, load, sampledAt, time.Now())
}
