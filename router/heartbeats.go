package router

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/router/member"
)

const (
	// indirectProbers is the number of peers that probe a silent one on this
	// router's behalf.
	indirectProbers = 2
	// sleepCheckPeriod is the time between the ticks that detect a suspension.
	sleepCheckPeriod = 100 * time.Millisecond
	// minSleepGap is the gap between ticks above which the process counts as
	// suspended. A shorter pause delays updates no more than the network may.
	minSleepGap = 500 * time.Millisecond
	// maxStaleView is how long a router that was suspended waits for a refreshed
	// view.
	maxStaleView = 2 * time.Second
)

// runHeartbeats exchanges heartbeats in each period until ctx ends.
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

// startProbe probes a peer unless an earlier probe of it is still waiting.
func (r *Router) startProbe(ctx context.Context, address string, period time.Duration) {
	if _, busy := r.probing.LoadOrStore(address, true); busy {
		return
	}
	r.tasks.Go(func() {
		defer r.probing.Delete(address)
		r.probe(ctx, address, period)
	})
}

// probe exchanges heartbeats with a peer. If the peer does not answer, other peers
// probe it once; if none of them gets an answer, the peer is suspected.
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
		return // This process was suspended in between.
	}
	klog.Infof("member: router %s does not answer: %v.", address, err)
	r.members.ProbeFailed(address, time.Now())
}

// probeIndirectly asks other peers to probe the one at address and reports whether
// one of them got an answer.
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

// exchangeHeartbeat sends a heartbeat to a peer, processes its answer and fetches
// what the peer has and this router lacks.
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

// detectSleep detects that this process was suspended, and refreshes the view
// afterwards, until ctx ends.
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

// refreshView asks a few peers for what changed during a suspension. Readers ask
// the platform as well, and so do all routers of a small fleet; in a large fleet
// the other routers don't, since the whole fleet may have been suspended at once.
func (r *Router) refreshView(ctx context.Context) {
	klog.Infof("member: the process was suspended and refreshes its view.")
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
