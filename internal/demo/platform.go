package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"cardamompoint.example/cardamompoint/gateway"
	"cardamompoint.example/cardamompoint/internal/loopback"
	"cardamompoint.example/cardamompoint/internal/standin/hosted"
	"cardamompoint.example/cardamompoint/platform"
)

// The sizes of the demo of gateways on the users' platform.
const (
	hostedGateways = 3
	// hostedEvents is the number of events in each stream.
	hostedEvents = 8
	// hostedTimeout bounds the time to read a request header, and waits for a condition.
	hostedTimeout = 10 * time.Second
)

// hostedDemo is a store, workers and gateways on one loopback network.
type hostedDemo struct {
	report  *report
	network *loopback.Network
	store   *hosted.Store
	// workers are the workers by ID.
	workers map[string]*hosted.Worker
	// stops stop the servers of stand-ins.
	stops []func()
	// requestCount is the number of requests so far, from which their IDs are made.
	requestCount int
}

// checkPlatform runs gateways against a stand-in of the users' platform and checks them.
func (d *demoRun) checkPlatform(ctx context.Context) error {
	network, err := loopback.Reserve()
	if err != nil {
		return err
	}
	h := &hostedDemo{report: d.report, network: network, store: hosted.NewStore(), workers: map[string]*hosted.Worker{}}
	defer h.close()
	if err := h.start(ctx); err != nil {
		return err
	}
	h.report.printf("platform: %d gateways, %d workers and a store, all in this process", hostedGateways, len(h.workers))
	h.checkChat()
	h.checkResume()
	h.checkDeposits()
	h.checkRevocation()
	return nil
}

// close stops the stand-ins and releases the network.
func (h *hostedDemo) close() {
	for _, stop := range h.stops {
		stop()
	}
	if err := h.network.Close(); err != nil {
		h.report.printf("the loopback network could not be released: %v", err)
	}
}

// address returns an address on the loopback network. host is the last number of its IP.
func (h *hostedDemo) address(host, port int) string {
	return fmt.Sprintf("%s.0.%d:%d", h.network.Prefix, host, port)
}

// serve starts a server for a stand-in.
func (h *hostedDemo) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listen for a stand-in")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: hostedTimeout}
	go func() { _ = server.Serve(listener) }()
	h.stops = append(h.stops, func() { _ = server.Close() })
	return nil
}

// start starts the store, two engines, two workers of a plain service and the gateways. It
// waits until they are ready and serve requests.
func (h *hostedDemo) start(ctx context.Context) error {
	if err := h.serve(h.address(200, 7100), h.store); err != nil {
		return err
	}
	h.store.Publish(hosted.DefaultConfiguration())
	for i, service := range []string{"engines", "engines", "plain", "plain"} {
		worker := hosted.NewWorker(fmt.Sprint(service, "-", i))
		worker.Events = hostedEvents
		h.workers[worker.ID] = worker
		if err := h.serve(h.address(100+i, 7200), worker); err != nil {
			return err
		}
		h.store.PutEndpoint(worker.ID, service, h.address(100+i, 7200), "ready")
	}
	for i := range hostedGateways {
		if err := h.startGateway(ctx, i+1); err != nil {
			return err
		}
	}
	return h.waitUntil(func() bool {
		for i := range hostedGateways {
			if h.getStatus(fmt.Sprintf("http://%s%s", h.address(i+1, 7002), platform.ReadinessPath)) != http.StatusOK {
				return false
			}
		}
		return h.send(1, "/lookup/1").status == http.StatusOK
	})
}

// startGateway starts the gateway with the given number, counted from 1.
func (h *hostedDemo) startGateway(ctx context.Context, number int) error {
	ip := fmt.Sprintf("%s.0.%d", h.network.Prefix, number)
	text := hosted.Settings(ip, [4]int{7001, 7002, 7003, 7010}, h.address(200, 7100), []string{h.address(1, 7003)})
	settings, err := platform.ParseSettings([]byte(text))
	if err != nil {
		return err
	}
	g, err := gateway.New(settings)
	if err != nil {
		return err
	}
	// The gateways end with the process; they don't drain for a load balancer.
	go func() { _ = g.Run(context.WithoutCancel(ctx)) }()
	return nil
}

// waitUntil waits until condition returns true, for up to hostedTimeout.
func (h *hostedDemo) waitUntil(condition func() bool) error {
	for end := time.Now().Add(hostedTimeout); time.Now().Before(end); {
		if condition() {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return eris.New("timed out waiting for the gateways")
}
