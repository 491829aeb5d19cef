package gateway

import (
	"bytes"
	"context"
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
	// conns are the connections of callers, and drain hands out those that wait in the listener; only
	// the listener for callers has them.
	conns callerConns
	drain *drainListener
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
		listeners = append(listeners, listener{name: at.name, net: l, server: newServer(at.handler)})
	}
	return listeners, nil
}

// newCallerListener returns the listener for callers. Its limits follow the configuration.
func (g *Gateway) newCallerListener(l net.Listener, handler http.Handler) listener {
	drain := newDrainListener(l)
	guarded := &httpguard.Listener{Listener: drain, Limits: g.headerLimits, OnClose: g.closures.add}
	conns := newCallerConns(g.callerIdleTimeout)
	g.callerConns.Store(&conns)
	server := &http.Server{
		Handler:        conns.claim(handler),
		MaxHeaderBytes: httpguard.MaxHeadBytes,
		ConnContext:    conns.context,
		ConnState:      conns.stateChanged,
		ErrorLog:       log.New(connectionLog{}, "", 0),
		// net/http would answer OPTIONS * with a success of its own.
		DisableGeneralOptionsHandler: true,
	}
	return listener{name: frontName, net: guarded, server: server, conns: conns, drain: drain}
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
