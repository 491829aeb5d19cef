package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"cardamompoint.example/cardamompoint/gateway"
	"cardamompoint.example/cardamompoint/internal/loopback"
	"cardamompoint.example/cardamompoint/internal/standin/hosted"
	"cardamompoint.example/cardamompoint/platform"
)

// The sizes of the demo of the users' platform.
const (
	hostedGateways = 3
	hostedEvents   = 8
	hostedWait     = 10 * time.Second
)

// hostedDemo is a store, workers and gateways on one loopback network.
type hostedDemo struct {
	report  *report
	network *loopback.Network
	store   *hosted.Store
	workers map[string]*hosted.Worker
	stops   []func()
	asked   int
}

// showPlatform runs gateways against a stand-in of the users' platform.
func (d *run) showPlatform(ctx context.Context) error {
	network, err := loopback.Reserve()
	if err != nil {
		return err
	}
	h := &hostedDemo{report: d.report, network: network, store: hosted.NewStore(), workers: map[string]*hosted.Worker{}}
	defer h.close()
	if err := h.start(ctx); err != nil {
		return err
	}
	h.report.count("platform: %d gateways, %d workers and a store, all in this process", hostedGateways, len(h.workers))
	h.showChat()
	h.showResume()
	h.showDeposit()
	h.showRevocation()
	return nil
}

func (h *hostedDemo) close() {
	for _, stop := range h.stops {
		stop()
	}
	if err := h.network.Close(); err != nil {
		h.report.count("the loopback network was not given back: %v", err)
	}
}

func (h *hostedDemo) address(host, port int) string {
	return fmt.Sprintf("%s.0.%d:%d", h.network.Prefix, host, port)
}

func (h *hostedDemo) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "a stand-in can't listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: hostedWait}
	go func() { _ = server.Serve(listener) }()
	h.stops = append(h.stops, func() { _ = server.Close() })
	return nil
}

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
	return h.eventually(func() bool {
		for i := range hostedGateways {
			if h.get(fmt.Sprintf("http://%s%s", h.address(i+1, 7002), platform.ReadinessPath)) != http.StatusOK {
				return false
			}
		}
		return h.ask(1, "/lookup/1").status == http.StatusOK
	})
}

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
	// The demo ends the gateways without waiting for a balancer.
	go func() { _ = g.Run(context.WithoutCancel(ctx)) }()
	return nil
}

// eventually waits for a condition.
func (h *hostedDemo) eventually(condition func() bool) error {
	for end := time.Now().Add(hostedWait); time.Now().Before(end); {
		if condition() {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return eris.New("the gateways did not become ready")
}

func (h *hostedDemo) get(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// hostedAnswer is what a caller gets.
type hostedAnswer struct {
	id     string
	status int
	body   string
	whole  bool
}

func (h *hostedDemo) ask(number int, path string) hostedAnswer {
	h.asked++
	answer := hostedAnswer{id: fmt.Sprintf("%016x", h.asked)}
	request := hosted.NewRequest(h.address(number, 7001), path, answer.id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	answer.status, answer.body, answer.whole = response.StatusCode, string(body), err == nil
	return answer
}

func (h *hostedDemo) events(answer hostedAnswer) int {
	return strings.Count(answer.body, "data: piece ")
}

// runs returns how often all workers together ran a request, and how many of
// them did.
func (h *hostedDemo) runs(id string) (runs, workers int) {
	for _, worker := range h.workers {
		if count := worker.Runs(id); count > 0 {
			runs += count
			workers++
		}
	}
	return runs, workers
}

func (h *hostedDemo) showChat() {
	engines := map[string]bool{}
	whole := 0
	for i := range 9 {
		answer := h.ask(1+i%hostedGateways, "/chat/1")
		if answer.whole && h.events(answer) == hostedEvents {
			whole++
		}
		for id, worker := range h.workers {
			if worker.Runs(answer.id) > 0 {
				engines[id] = true
			}
		}
	}
	h.report.check(whole == 9 && len(engines) == 1, "chat: asked 9 times at %d gateways, %d whole, at %d engine", hostedGateways, whole, len(engines))
}

func (h *hostedDemo) showResume() {
	for _, worker := range h.workers {
		worker.SetNext(hosted.Truncate)
	}
	answer := h.ask(1, "/roster/1")
	for _, worker := range h.workers {
		worker.SetNext()
	}
	resumed := h.ask(2, "/roster/1")
	runs, workers := h.runs(answer.id)
	h.report.check(resumed.whole && h.events(resumed) == hostedEvents && runs == workers,
		"stream cut at every engine: %d of %d events came, in order; the next one is whole", h.events(answer), hostedEvents)
	for id, worker := range h.workers {
		if strings.HasPrefix(id, "engines") {
			worker.SetNext(hosted.Truncate)
			break
		}
	}
	whole := 0
	for range 4 {
		if answer := h.ask(1, "/roster/1"); answer.whole && h.events(answer) == hostedEvents {
			whole++
		}
	}
	h.report.check(whole == 4, "stream cut at one engine: %d of 4 went on and were whole", whole)
}

func (h *hostedDemo) showDeposit() {
	lost, twice := 0, 0
	for i := range 20 {
		for _, worker := range h.workers {
			worker.SetNext(hosted.Behavior(i % int(hosted.Hang)))
		}
		answer := h.ask(1+i%hostedGateways, "/deposit/1")
		runs, _ := h.runs(answer.id)
		if runs > 1 {
			twice++
		}
		if runs > 0 && answer.status == http.StatusServiceUnavailable {
			lost++
		}
	}
	for _, worker := range h.workers {
		worker.SetNext()
	}
	h.report.check(twice == 0 && lost == 0, "deposits: 20 sent to failing workers, %d run more than once, %d run and told as not run", twice, lost)
}

func (h *hostedDemo) showRevocation() {
	configuration := hosted.DefaultConfiguration()
	configuration.Version++
	configuration.Tenants[0].Keys = []string{"another"}
	h.store.Publish(configuration)
	began := time.Now()
	err := h.eventually(func() bool {
		for i := range hostedGateways {
			if h.ask(i+1, "/lookup/1").status != http.StatusUnauthorized {
				return false
			}
		}
		return true
	})
	h.report.check(err == nil, "revoked key: refused at %d gateways after %d ms", hostedGateways, time.Since(began).Milliseconds())
}
