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
)

const (
	// learnDelay is when a started VM begins to ask: it has heard the others by
	// then.
	learnDelay = 120 * time.Millisecond
	// maxAskedPeers bounds the VMs that are asked where parts are, maxAskedPeersLarge the same in
	// large fleets, where all tell much the same.
	maxAskedPeers      = 8
	maxAskedPeersLarge = 3
	// learnDuration is how long it asks others that start at the same time.
	learnDuration = 4 * time.Second
	// learnInterval is the time between two rounds.
	learnInterval = 60 * time.Millisecond
	// maxPlacesWait is how long requests with long shared prompts wait at most, once
	// endpoints are known, for what the VM learns: reading them takes as long.
	maxPlacesWait = 450 * time.Millisecond
	// longPromptTokens is the number of shared tokens from which a request waits.
	longPromptTokens = 1000
	// learnTimeout bounds one question.
	learnTimeout = 700 * time.Millisecond
	// minPartTokens is the size of the smallest part worth being told.
	minPartTokens = 100
)

// learner finds out where prompt parts are when a VM starts: from VMs that know
// it, or from the engines, which VMs that start together divide.
type learner struct {
	gateway *Gateway
	client  *http.Client
	// asked are the peers that were asked.
	asked map[string]bool
	// listing decides which engines are asked.
	listing *news.QueryCoordinator
}

func newLearner(g *Gateway) *learner {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: jsonhttp.MaxHeaderBytes}, Timeout: learnTimeout}
	return &learner{gateway: g, client: client, asked: map[string]bool{}}
}

// run asks until everybody who knows was asked, or learnDuration is over. On the
// first start of the whole fleet there is nothing to learn.
func (l *learner) run(ctx context.Context) {
	defer l.gateway.markPlacesKnown()
	if l.gateway.settings.FirstStart {
		l.gateway.learned.Store(true)
		return
	}
	l.awaitEndpoints(ctx)
	limit := time.AfterFunc(maxPlacesWait, l.gateway.markPlacesKnown)
	defer limit.Stop()
	clock.Sleep(ctx, learnDelay)
	began := clock.Now()
	l.listing = news.NewQueryCoordinator(l.gateway.members, began)
	for ctx.Err() == nil && clock.Now().Sub(began) < learnDuration {
		if l.round(ctx) {
			l.gateway.learned.Store(true)
		}
		clock.Sleep(ctx, learnInterval)
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
		clock.Sleep(ctx, learnInterval/4)
	}
}

// round asks the peers that know and were not asked yet. If none knew when this VM had
// heard others, it asks the engines whose turn it is. It reports whether this VM knows.
func (l *learner) round(ctx context.Context) bool {
	limit := maxAskedPeers
	if l.gateway.members.LargeFleet() {
		limit = maxAskedPeersLarge
	}
	survey := l.gateway.members.Survey(l.gateway.settings.FailureDomain, clock.Now())
	for _, address := range survey.WithPartLocations {
		if len(l.asked) < limit {
			l.askPeer(ctx, address)
		}
	}
	allKnow := len(survey.WithPartLocations) == survey.Alive
	if allKnow && l.gateway.learned.Load() {
		l.gateway.markPlacesKnown()
	}
	if !l.listing.Update(survey, clock.Now()) {
		return len(survey.WithPartLocations) > 0
	}
	l.askEngines(ctx, l.gateway.tracker.Snapshot())
	return l.listing.Complete(clock.Now())
}

func (l *learner) askPeer(ctx context.Context, address string) {
	if l.asked[address] {
		return
	}
	l.asked[address] = true
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	places, err := l.gateway.peers.Places(ctx, address)
	if err != nil {
		klog.InfoS("place: a peer does not tell where parts are", "peer", address, "reason", err.Error())
		return
	}
	l.gateway.table.RecordLocations(places, clock.Now())
	klog.InfoS("place: learned where parts are", "peer", address, "places", len(places))
}

// askEngines asks the engines whose turn it is for this VM.
func (l *learner) askEngines(ctx context.Context, snapshot *knowledge.Snapshot) {
	for _, endpoint := range snapshot.Endpoints {
		service := snapshot.Configuration.Services[endpoint.Service]
		if service == nil || service.Engine == nil {
			continue
		}
		if l.listing.ShouldQuery(endpoint.ID, clock.Now()) {
			l.askEngine(ctx, endpoint)
		}
	}
}

func (l *learner) askEngine(ctx context.Context, endpoint *traffic.Endpoint) {
	parts, err := platform.ListCachedParts(ctx, l.client, endpoint.Address)
	if err != nil {
		klog.InfoS("place: an engine does not tell what it holds", "endpoint", endpoint.ID, "reason", err.Error())
		return
	}
	var places []news.PartLocation
	for _, part := range parts {
		if part.Tokens >= minPartTokens {
			places = append(places, news.PartLocation{Hash: part.ID, Endpoint: endpoint.ID})
		}
	}
	l.gateway.table.RecordLocations(places, clock.Now())
	l.gateway.table.AnnounceLocations(places)
	klog.InfoS("place: learned what an engine holds", "endpoint", endpoint.ID, "parts", len(parts))
}

// awaitPlaces holds a request with a long shared prompt until the VM has learned
// where its parts are, or for a short time after the start.
func (c *call) awaitPlaces() {
	if c.request.Prompt.SharedTokens() < longPromptTokens {
		return
	}
	select {
	case <-c.gateway.places:
	case <-c.r.Context().Done():
	}
}
