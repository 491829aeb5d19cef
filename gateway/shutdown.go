package gateway

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// shutDown stops accepting requests and waits until the requests in progress have finished,
// within the grace period.
func (g *Gateway) shutDown(listeners []listener) error {
	began := clock.Now()
	plan := planShutdown(began, g.bounds.Load().GracePeriod, g.linger)
	g.shutdown.Store(plan)
	g.stopping.Store(true)
	klog.InfoS("gateway: stopping", "active", g.active.Load(), "linger_ms", plan.lingerEnd.Sub(began).Milliseconds(), "end_ms", plan.end.Sub(began).Milliseconds())
	time.Sleep(plan.lingerEnd.Sub(clock.Now()))
	aborted := false
	for i := range listeners {
		if listeners[i].name == frontName {
			aborted = !g.finishRequests(&listeners[i], plan)
		}
	}
	g.logStopped(began)
	for _, l := range listeners {
		if err := l.server.Close(); err != nil {
			klog.V(1).InfoS("gateway: closing a server failed", "server", l.name, "reason", err.Error())
		}
	}
	if aborted {
		return errRequestsAborted
	}
	return nil
}

// logStopped logs what the stop took and what it leaves: requests in progress, connections of callers
// that are open, those of them with unread bytes, and those that were closed since the start of the
// process although bytes on them had got no response.
func (g *Gateway) logStopped(began clock.Boot) {
	open, unread := 0, 0
	if conns := g.callerConns.Load(); conns != nil {
		open, unread = conns.open.count(), conns.open.countUnread()
	}
	klog.InfoS("gateway: stopped", "took_ms", clock.Now().Sub(began).Milliseconds(), "cut", g.active.Load(), "open", open, "unread", unread, "unanswered", g.closures.unanswered.Load())
}

// finishRequests accepts no more connections, waits for the requests on those of callers and closes them.
// It returns false if the plan ended before.
func (g *Gateway) finishRequests(l *listener, plan *shutdownPlan) bool {
	klog.InfoS("gateway: new connections are refused", "waited", l.drain.Drain())
	l.conns.awaitRequests(plan, g.keepAlive())
	l.conns.retireAll(plan)
	l.server.SetKeepAlivesEnabled(false)
	ctx, cancel := context.WithTimeout(context.Background(), plan.end.Sub(clock.Now()))
	defer cancel()
	return !errors.Is(l.server.Shutdown(ctx), context.DeadlineExceeded)
}
