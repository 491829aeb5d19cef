package router

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"cardamompoint.example/cardamompoint/internal/caller"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
	"cardamompoint.example/cardamompoint/internal/standin"
	"cardamompoint.example/cardamompoint/router/api"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/member"
	"cardamompoint.example/cardamompoint/router/peer"
	"cardamompoint.example/cardamompoint/router/settings"
	"cardamompoint.example/cardamompoint/router/source"
)

const (
	pairEngine  = "10.9.1.1:7200"
	pairCallers = "10.9.0.9:7000"
	// pairSuspectMS is longer than any time that a test waits between two
	// heartbeats.
	pairSuspectMS = 15 * 60 * 1000
)

// streamPair is an entry router, another router that is the engine's home, and the
// engine, on an in-memory network.
type streamPair struct {
	t           *testing.T
	net         *standin.PipeNet
	entry, home *Router
	caller      *http.Client
	transports  []*http.Transport
	stops       []func()
}

// runPair runs test with a streamPair in virtual time.
func runPair(t *testing.T, engine http.Handler, test func(*streamPair)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := &streamPair{t: t, net: standin.NewPipeNet()}
		p.entry, p.home = p.router("10.9.0.1:7001"), p.router("10.9.0.2:7001")
		p.introduce()
		if p.entry.homeOf(p.entry.members.View(), pairEngine) == p.entry.members.Self().Address {
			p.entry, p.home = p.home, p.entry
		}
		p.stops = append(p.stops,
			p.net.Serve(pairEngine, engine),
			p.net.Serve(p.home.members.Self().Address, p.home.peersMux()),
			p.net.Serve(p.entry.members.Self().Address, p.entry.peersMux()),
			p.net.Serve(pairCallers, p.entry.callersMux()))
		p.caller = &http.Client{Transport: p.transport()}
		ctx, cancel := context.WithCancel(t.Context())
		p.waitForHome(ctx)
		test(p)
		cancel()
		for _, transport := range p.transports {
			transport.CloseIdleConnections()
		}
		for _, stop := range p.stops {
			stop()
		}
		time.Sleep(time.Hour)
	})
}

func (p *streamPair) transport() *http.Transport {
	transport := p.net.Transport()
	p.transports = append(p.transports, transport)
	return transport
}

// router returns a router whose periodic tasks don't run.
func (p *streamPair) router(address string) *Router {
	p.t.Helper()
	s := settings.Defaults()
	s.Name, s.Peers, s.Secret = address, address, []byte("0123456789abcdef")
	s.Timing.SuspectMS = int(time.Hour.Milliseconds()) / 4
	r, err := New(Options{
		Settings: &s,
		Engine:   endpoint.NewEngineClient(p.transport(), milliseconds(s.Timing.ProgressMS), milliseconds(s.Timing.StallMS)),
	})
	if err != nil {
		p.t.Fatal(err)
	}
	r.work = peer.NewClient(s.Secret, p.transport())
	r.control = r.work
	r.loadClient = endpoint.NewEngineClient(p.transport(), pollTimeout, pollTimeout)
	r.synced.Store(true)
	return r
}

// introduce gives both routers the list, with both of them and the engine, and one
// workspace.
func (p *streamPair) introduce() {
	list := source.VMList{Version: 1, VMs: []source.VM{
		{Address: p.entry.members.Self().Address, Role: source.RoleRouter, State: source.StateLive},
		{Address: p.home.members.Self().Address, Role: source.RoleRouter, State: source.StateLive},
		{Address: pairEngine, Role: source.RoleEngine, Group: "g", State: source.StateLive},
	}}
	documents := []source.Document{
		{Key: "models/m", Version: 1, Data: json.RawMessage(`{"group": "g", "version": "1"}`)},
		{Key: "workspaces/w/template", Version: 2, Data: json.RawMessage(
			`{"completion": {"models": [{"model": "m"}], "max_tokens": 4000}}`)},
	}
	for _, r := range []*Router{p.entry, p.home} {
		r.members.SetList(list, time.Now())
		r.store.Apply(documents, 2)
	}
	p.exchangeHeartbeats()
}

// waitForHome waits until the home may act and starts its polling and its lease
// until ctx ends.
func (p *streamPair) waitForHome(ctx context.Context) {
	go p.home.freezeDetector.run(ctx)
	p.home.assignment(pairEngine, time.Now())
	time.Sleep(2 * milliseconds(pairSuspectMS))
	p.exchangeHeartbeats()
	go p.home.pollLoads(ctx)
	go p.home.renewLeases(ctx)
	time.Sleep(time.Second)
}

func (p *streamPair) exchangeHeartbeats() {
	p.entry.members.HandleHeartbeat(member.Heartbeat{From: p.home.members.Self()}, time.Now())
	p.home.members.HandleHeartbeat(member.Heartbeat{From: p.entry.members.Self()}, time.Now())
}

func pairCompletion(tokens int) api.CompletionRequest {
	return api.CompletionRequest{
		Workspace: "w", Chat: "c", MaxTokens: tokens, Stream: true,
		Messages: []api.Message{{Role: "user", Content: "a dossier"}},
	}
}

// ask sends a completion request and returns the open response.
func (p *streamPair) ask(ctx context.Context, completion api.CompletionRequest) *http.Response {
	p.t.Helper()
	request, err := jsonhttp.NewPost(ctx, "http://"+pairCallers+"/v1/chat/completions", completion)
	if err != nil {
		p.t.Fatal(err)
	}
	response, err := p.caller.Do(request)
	if err != nil || response.StatusCode != http.StatusOK {
		p.t.Fatalf("no answer: %v %v", response, err)
	}
	return response
}

// read reads the rest of a response into answer.
func (p *streamPair) read(response *http.Response, answer *caller.Answer) error {
	defer response.Body.Close()
	return answer.ReadEvents(response.Body)
}

// requestsAtHome returns the number of the engine's requests that the home accounts
// for.
func (p *streamPair) requestsAtHome() int {
	requests, _ := p.home.loadTracker.Load(pairEngine)
	return requests
}
