package gateway

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/gateway/news"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
	"cardamompoint.example/cardamompoint/platform"
	"cardamompoint.example/cardamompoint/rank"
)

const (
	// learnAfter is when a started VM begins to ask: it has heard the others by
	// then.
	learnAfter = 120 * time.Millisecond
	// settleTime bounds the wait for a steady number of VMs.
	settleTime = 400 * time.Millisecond
	// askedPeers bounds the VMs that are asked where parts are.
	askedPeers = 8
	// learnFor is how long it asks others that start at the same time.
	learnFor = 4 * time.Second
	// learnPeriod is the time between two rounds.
	learnPeriod = 60 * time.Millisecond
	// learnWait is how long requests with long shared prompts wait at most, once
	// endpoints are known, for what the VM learns: reading them takes as long.
	learnWait = 450 * time.Millisecond
	// longPrompt is the number of shared tokens from which a request waits.
	longPrompt = 1000
	// learnTimeout bounds one question.
	learnTimeout = 700 * time.Millisecond
	// leastTokens is the size of the smallest part worth being told.
	leastTokens = 100
)

// learner finds out where prompt parts are when a VM starts: from VMs that know
// it, or from the engines. Each engine is asked by one VM only, since the
// question delays its work.
type learner struct {
	gateway *Gateway
	client  *http.Client
	// asked are the peers and the engines that were asked.
	asked map[string]bool
	// listing tells that nobody knew and the engines are asked, also those that
	// are published later.
	listing bool
	// members is the number of VMs that were alive in the last round.
	members int
	began   clock.Boot
	// peers counts the VMs that were asked.
	peers int
}

func newLearner(g *Gateway) *learner {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: jsonhttp.MaxHeaderBytes}, Timeout: learnTimeout}
	return &learner{gateway: g, client: client, asked: map[string]bool{}}
}

// run asks until everybody who knows was asked, or learnFor is over. On the
// first start of the whole fleet there is nothing to learn.
func (l *learner) run(ctx context.Context) {
	defer l.gateway.placesKnown()
	if l.gateway.settings.FirstStart {
		l.gateway.learned.Store(true)
		return
	}
	l.awaitEndpoints(ctx)
	limit := time.AfterFunc(learnWait, l.gateway.placesKnown)
	defer limit.Stop()
	clock.Sleep(ctx, learnAfter)
	l.began = clock.Now()
	for ctx.Err() == nil && clock.Now().Sub(l.began) < learnFor {
		if l.round(ctx) {
			l.gateway.learned.Store(true)
		}
		clock.Sleep(ctx, learnPeriod)
	}
	l.gateway.learned.Store(true)
}

// awaitEndpoints waits until endpoints are known: the store may be away for long
// after a start.
func (l *learner) awaitEndpoints(ctx context.Context) {
	for ctx.Err() == nil {
		snapshot := l.gateway.tracker.Snapshot()
		if snapshot.Configuration != nil && len(snapshot.Endpoints) > 0 {
			return
		}
		clock.Sleep(ctx, learnPeriod/4)
	}
}

// round asks the peers that know and were not asked yet. If there are none at
// all, it asks this VM's part of the engines. It reports whether this VM knows.
func (l *learner) round(ctx context.Context) bool {
	var alive, knowing []string
	l.gateway.members.Each(clock.Now(), func(member *news.Member) {
		alive = append(alive, member.Report.Address)
		if member.Report.Learned {
			knowing = append(knowing, member.Report.Address)
		}
	})
	for _, address := range knowing {
		if l.peers < askedPeers {
			l.askPeer(ctx, address)
		}
	}
	someKnow, allKnow := len(knowing) > 0, len(knowing) == len(alive)
	if allKnow && l.gateway.learned.Load() {
		l.gateway.placesKnown()
	}
	if someKnow && !l.listing {
		return true
	}
	settled := len(alive) > 0 && len(alive) == l.members
	l.members = len(alive)
	if !settled && !l.listing && clock.Now().Sub(l.began) < settleTime {
		return false // Who else is there decides which engines to ask.
	}
	l.listing = true
	l.askEngines(ctx, l.gateway.tracker.Snapshot(), alive)
	return true
}

func (l *learner) askPeer(ctx context.Context, address string) {
	if l.asked[address] {
		return
	}
	l.asked[address] = true
	l.peers++
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	places, err := l.gateway.peers.Places(ctx, address)
	if err != nil {
		klog.InfoS("place: a peer does not tell where parts are", "peer", address, "reason", err.Error())
		return
	}
	l.gateway.table.Learn(places, clock.Now())
	klog.InfoS("place: learned where parts are", "peer", address, "places", len(places))
}

// askEngines asks the engines for which this VM ranks first among those alive.
func (l *learner) askEngines(ctx context.Context, snapshot *knowledge.Snapshot, alive []string) {
	for _, endpoint := range snapshot.Endpoints {
		service := snapshot.Configuration.Services[endpoint.Service]
		if service == nil || service.Engine == nil || l.asked[endpoint.ID] {
			continue
		}
		l.asked[endpoint.ID] = true
		if !l.ranksFirst(endpoint, alive) {
			continue
		}
		l.askEngine(ctx, endpoint)
	}
}

func (l *learner) ranksFirst(endpoint *traffic.Endpoint, alive []string) bool {
	own := rank.Key(endpoint.ID, l.gateway.settings.IP)
	for _, address := range alive {
		if rank.Key(endpoint.ID, address) > own {
			return false
		}
	}
	return true
}

func (l *learner) askEngine(ctx context.Context, endpoint *traffic.Endpoint) {
	parts, err := platform.ListMemory(ctx, l.client, endpoint.Address)
	if err != nil {
		klog.InfoS("place: an engine does not tell what it holds", "endpoint", endpoint.ID, "reason", err.Error())
		return
	}
	var places []news.PartPlace
	for _, part := range parts {
		if part.Tokens >= leastTokens {
			places = append(places, news.PartPlace{Part: part.ID, Endpoint: endpoint.ID})
		}
	}
	l.gateway.table.Learn(places, clock.Now())
	if l.gateway.learned.Load() {
		l.gateway.table.Tell(places)
	}
	klog.InfoS("place: learned what an engine holds", "endpoint", endpoint.ID, "parts", len(parts))
}

// awaitPlaces holds a request with a long shared prompt until the VM has learned
// where its parts are, or for a short time after the start.
func (c *call) awaitPlaces() {
	if c.request.Prompt.SharedTokens() < longPrompt {
		return
	}
	select {
	case <-c.gateway.places:
	case <-c.r.Context().Done():
	}
}
