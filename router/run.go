package router

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/router/peer"
)

// Timeouts of the servers, and the period in which a draining router checks for
// unfinished work.
const (
	readHeaderTimeout = 10 * time.Second
	closeTimeout      = 2 * time.Second
	drainPollPeriod   = 20 * time.Millisecond
)

// Run serves until ctx ends and then drains: the router reports unready, continues
// to accept requests for the linger time, and lets requests in progress finish
// within the drain time. When abort ends, Run returns without draining.
func (r *Router) Run(ctx, abort context.Context) error {
	background, stop := context.WithCancel(abort)
	defer stop()
	if err := r.listen(); err != nil {
		return err
	}
	for _, task := range r.backgroundTasks() {
		r.tasks.Go(func() { task(background) })
	}
	klog.Infof("member: router %s serves callers at %s.", r.settings.Name, r.settings.Callers)
	select {
	case <-ctx.Done():
		r.drain(background)
	case <-abort.Done():
	}
	stop()
	return r.close()
}

// backgroundTasks returns the tasks that run until the router stops.
func (r *Router) backgroundTasks() []func(context.Context) {
	return []func(context.Context){
		r.initialSync,
		r.watchConfig,
		r.watchList,
		r.runHeartbeats,
		r.detectSleep,
		r.renewLeases,
		r.pollLoads,
		r.freezeDetector.run,
		r.runPlacement,
		r.recordMembership,
	}
}

// listen opens the listeners and starts their servers.
func (r *Router) listen() error {
	listens := []struct {
		address string
		handler http.Handler
	}{
		{r.settings.Operators, r.operatorsMux()},
		{r.settings.Peers, r.peersMux()},
		{r.settings.Callers, r.callersMux()},
	}
	for _, l := range listens {
		listener, err := r.listenAt(l.address)
		if err != nil {
			return errors.Join(code.Wrap(err, code.InvalidSettings, "the listen address can't be used"), r.close())
		}
		server := &http.Server{Handler: l.handler, ReadHeaderTimeout: readHeaderTimeout, ConnContext: peer.ConnContext}
		r.servers = append(r.servers, server)
		go server.Serve(peer.CountingListener(listener))
	}
	return nil
}

func (r *Router) listenAt(address string) (net.Listener, error) {
	if r.network == nil {
		return net.Listen("tcp", address)
	}
	return r.network.Listen(address)
}

// drain shuts the router down without interrupting requests: it waits until the
// requests of callers, the streams that the router accounts for and the executions
// for peers have ended, at most for the drain time.
func (r *Router) drain(ctx context.Context) {
	r.draining.Store(true)
	klog.Infof("member: router %s is draining.", r.settings.Name)
	r.releaseLease(ctx)
	r.spreadLeaving(ctx)
	clock.Sleep(ctx, milliseconds(r.settings.Timing.LingerMS))
	deadline := r.beginClosing()
	for r.unfinished() > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		clock.Sleep(ctx, drainPollPeriod)
	}
}

// unfinished returns the number of requests and streams that a shutdown would
// interrupt now.
func (r *Router) unfinished() int64 {
	return r.inProgress.Load() + r.peerWork.Load() + int64(len(r.streams.Held()))
}

// close stops the servers and cancels held streams. Unfinished requests are
// interrupted and reported as an error with code.Draining.
func (r *Router) close() error {
	left := r.unfinished()
	klog.Infof("member: router %s stops with %d unfinished requests.", r.settings.Name, left)
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	r.cancelHeld(ctx)
	var failures []error
	for _, server := range r.servers {
		if left > 0 {
			failures = append(failures, server.Close())
			continue
		}
		if err := server.Shutdown(ctx); err != nil {
			failures = append(failures, server.Close())
		}
	}
	if left > 0 {
		failures = append(failures, code.New(code.Draining, "%d requests in progress were interrupted", left))
	}
	return errors.Join(failures...)
}

// cancelHeld cancels the streams without a reader.
func (r *Router) cancelHeld(ctx context.Context) {
	var cancels sync.WaitGroup
	for _, s := range r.streams.Held() {
		r.streams.End(s)
		cancels.Go(func() { _ = r.engine.Cancel(ctx, s.Engine, s.StreamID) })
	}
	cancels.Wait()
}
