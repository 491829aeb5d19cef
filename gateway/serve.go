package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/internal/httpguard"
)

const (
	// defaultLinger is how long new connections are still accepted after SIGTERM: the load
	// balancer stops sending callers after the second readiness probe that does not return
	// status 200.
	defaultLinger = 2600 * time.Millisecond
	// shutdownMargin is the time reserved before the end of the grace period, when the process
	// is killed.
	shutdownMargin = 500 * time.Millisecond
	// defaultGracePeriod is the grace period if none is configured.
	defaultGracePeriod = 8 * time.Second
	// headerTimeout bounds the time to read a request header on all addresses but that for
	// callers, idleTimeout the time between two requests.
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
)

// frontName is the name of the listener for callers.
const frontName = "front"

// listener is a listen address and its server.
type listener struct {
	name   string
	net    net.Listener
	server *http.Server
}

// serve opens the listeners and serves them until stop ends or a server fails.
func (g *Gateway) serve(stop context.Context) error {
	listeners, err := g.listen()
	if err != nil {
		return err
	}
	failed := make(chan error, len(listeners))
	for _, l := range listeners {
		go func() { failed <- l.server.Serve(l.net) }()
	}
	select {
	case err := <-failed:
		return eris.Wrap(err, "a server failed")
	case <-stop.Done():
	}
	return g.shutDown(listeners)
}

// listen opens the listeners of all configured addresses.
func (g *Gateway) listen() ([]listener, error) {
	ready := http.NewServeMux()
	ready.HandleFunc(readinessPattern, g.serveReadiness)
	control := g.controlMux()
	metrics := http.NewServeMux()
	metrics.Handle("GET "+MetricsPath, g.metrics.Handler())
	addresses := []struct {
		name    string
		address string
		handler http.Handler
	}{
		{frontName, g.settings.FrontAddress, http.HandlerFunc(g.serveCaller)},
		{"ready", g.settings.ReadyAddress, ready},
		{"control", g.settings.ControlAddress, control},
		{"peer", g.peerAddress(), control},
		{"metrics", net.JoinHostPort(g.settings.IP, strconv.Itoa(MetricsPort)), metrics},
	}
	var listeners []listener
	for _, at := range addresses {
		if at.address == "" {
			continue
		}
		l, err := net.Listen("tcp", at.address)
		if err != nil {
			return nil, eris.Wrapf(err, "can't listen on the %s address", at.name)
		}
		if at.name == frontName {
			listeners = append(listeners, g.newCallerListener(l, at.handler))
			continue
		}
		listeners = append(listeners, listener{at.name, l, newServer(at.handler)})
	}
	return listeners, nil
}

// newCallerListener returns the listener for callers. Its limits follow the configuration.
func (g *Gateway) newCallerListener(l net.Listener, handler http.Handler) listener {
	guarded := &httpguard.Listener{Listener: l, Limits: g.headerLimits}
	conns := callerConns{idle: newIdleCloser(g.callerIdleTimeout)}
	server := &http.Server{
		Handler:        conns.claim(handler),
		MaxHeaderBytes: httpguard.MaxHeadBytes,
		ConnContext:    conns.context,
		ConnState:      conns.stateChanged,
		ErrorLog:       log.New(connectionLog{}, "", 0),
		// net/http would answer OPTIONS * with a success of its own.
		DisableGeneralOptionsHandler: true,
	}
	return listener{frontName, guarded, server}
}

// connectionLog logs what net/http reports about connections of callers, such as a handler that
// panicked or a connection that could not be accepted.
type connectionLog struct{}

// Write implements io.Writer. It is called with one message at a time.
func (connectionLog) Write(message []byte) (int, error) {
	klog.ErrorS(nil, "gateway: a connection of a caller failed", "detail", string(bytes.TrimSpace(message)))
	return len(message), nil
}

// newServer returns a server for an address other than that for callers.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
}

// shutDown stops accepting requests and waits until the requests in progress have finished,
// within the grace period.
func (g *Gateway) shutDown(listeners []listener) error {
	g.stopping.Store(true)
	began := time.Now()
	klog.InfoS("gateway: stopping", "active", g.active.Load())
	grace := g.bounds.Load().GracePeriod
	if grace <= 0 {
		grace = defaultGracePeriod
	}
	time.Sleep(g.linger)
	ctx, cancel := context.WithTimeout(context.Background(), grace-shutdownMargin-time.Since(began))
	defer cancel()
	aborted := false
	for _, l := range listeners {
		if l.name != frontName {
			continue
		}
		if err := l.server.Shutdown(ctx); errors.Is(err, context.DeadlineExceeded) {
			aborted = true
		}
	}
	klog.InfoS("gateway: stopped", "took_ms", time.Since(began).Milliseconds(), "cut", g.active.Load())
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
