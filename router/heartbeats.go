package router

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/router/member"
)

const (
	// helpers is the number of peers that probe a silent one as well.
	indirectProbers = 2
	// sleepTick is the period of the ticks that notice a sleep.
	sleepCheckPeriod = 100 * time.Millisecond
	// sleepBound is the gap between ticks that means a sleep. A shorter pause
	// delays what the router learns no more than the network may.
	minSleepGap = 500 * time.Millisecond
	// sleepLimit is how long a router that has slept waits for a fresh view.
	maxStaleView = 2 * time.Second
)

// beat exchanges heartbeats until ctx ends.
func (r *Router) runHeartbeats(ctx context.Context) {
	period := milliseconds(r.settings.Timing.HeartbeatMS)
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		r.members.BeginPeriod(r.loadTracker.LoadByModel())
		for _, address := range r.members.Probes(time.Now(), period) {
			r.startProbe(ctx, address, period)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// startProbe probes a peer unless an earlier probe still waits.
func (r *Router) startProbe(ctx context.Context, address string, period time.Duration) {
	if _, busy := r.probing.LoadOrStore(address, true); busy {
		return
	}
	r.tasks.Go(func() {
		defer r.probing.Delete(address)
		r.probe(ctx, address, period)
	})
}

// probe exchanges heartbeats with a peer. If it does not answer, others try
// once; if none gets an answer, the peer is suspected.
func (r *Router) probe(ctx context.Context, address string, period time.Duration) {
	began := time.Now()
	direct, cancel := context.WithTimeout(ctx, period)
	err := r.exchangeHeartbeat(direct, address)
	cancel()
	if err == nil || ctx.Err() != nil || r.members.Suspected(address) {
		return
	}
	if r.probeIndirectly(ctx, address, period) || ctx.Err() != nil {
		return
	}
	if time.Since(began) > minSleepGap+2*period {
		return // This router slept in between.
	}
	klog.Infof("member: router %s does not answer: %v.", address, err)
	r.members.ProbeFailed(address, time.Now())
}

// probeIndirectly lets other peers probe and reports whether one of them got
// an answer.
func (r *Router) probeIndirectly(ctx context.Context, address string, period time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, period)
	defer cancel()
	answered := make(chan bool, indirectProbers)
	var asks sync.WaitGroup
	for _, helper := range r.pushTargets(address, indirectProbers) {
		asks.Go(func() {
			if r.control.Post(ctx, helper, indirectPath, indirectRequest{Address: address}, nil) == nil {
				answered <- true
			}
		})
	}
	asks.Wait()
	return len(answered) > 0
}

// exchange sends a heartbeat to a peer and takes in its answer.
func (r *Router) exchangeHeartbeat(ctx context.Context, address string) error {
	began := time.Now()
	own := r.heartbeat(address)
	var answer member.Heartbeat
	if err := r.control.Post(ctx, address, heartbeatPath, own, &answer); err != nil {
		return err
	}
	r.members.HandleHeartbeat(answer, time.Now())
	r.members.HeartbeatAcked(own, address)
	r.members.AverageMeans(own.Means, answer.Means)
	r.syncFromHeartbeat(ctx, answer, began)
	return nil
}

// watchSleep notices when this process did not run, and refreshes the view.
func (r *Router) detectSleep(ctx context.Context) {
	ticker := time.NewTicker(sleepCheckPeriod)
	defer ticker.Stop()
	r.sleepGuard.Tick(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.sleepGuard.Tick(time.Now())
		if r.sleepGuard.Check(time.Now()) != nil {
			r.refreshView(ctx)
		}
	}
}

// refresh asks a few peers for what changed during a sleep. The platform is
// asked by readers, and by all routers of a small fleet: a large fleet may have
// slept as a whole.
func (r *Router) refreshView(ctx context.Context) {
	klog.Infof("member: the router has slept and refreshes its view.")
	r.members.RestartSuspicions(time.Now())
	ctx, cancel := context.WithTimeout(ctx, maxStaleView/2)
	defer cancel()
	var asks sync.WaitGroup
	view := r.members.View()
	if len(view.Routers) <= fallbackReadsPerSecond || isReader(view, r.members.Self()) {
		asks.Go(func() { r.readList(ctx, 0) })
	}
	for _, address := range r.pushTargets("", pushFanout) {
		asks.Go(func() { r.exchangeHeartbeat(ctx, address) })
	}
	asks.Wait()
}
