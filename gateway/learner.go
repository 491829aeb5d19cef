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
	// learnDelay is how long after its start a VM sends its first queries. By then it has
	// received reports from the other VMs.
	learnDelay = 120 * time.Millisecond
	// maxAskedPeers bounds the number of peers queried for the locations of prompt parts.
	// maxAskedPeersLarge is the same for large fleets, in which all peers know nearly the same
	// locations.
	maxAskedPeers      = 8
	maxAskedPeersLarge = 3
	// learnDuration is how long a VM queries other VMs that start at the same time.
	learnDuration = 4 * time.Second
	// learnInterval is the interval between two rounds of queries.
	learnInterval = 60 * time.Millisecond
	// maxLocationWait bounds how long requests with long shared prompts wait, once endpoints are
	// known, for the locations of their parts. A prefill of these parts would take as long.
	maxLocationWait = 450 * time.Millisecond
	// longPromptTokens is the number of shared tokens from which a request waits.
	longPromptTokens = 1000
	// learnTimeout bounds a query.
	learnTimeout = 700 * time.Millisecond
	// minPartTokens is the size of the smallest prompt part whose location is shared.
	minPartTokens = 100
)

// learner finds the locations of prompt parts when a VM starts: from VMs that know them, or
// from the engines. VMs that start together divide the engines among themselves.
type learner struct {
	gateway *Gateway
	client  *http.Client
	// asked holds the addresses of the peers that were queried.
	asked map[string]bool
	// queries decides which engines this VM queries.
	queries *news.QueryCoordinator
}

func newLearner(g *Gateway) *learner {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: jsonhttp.MaxHeaderBytes}, Timeout: learnTimeout}
	return &learner{gateway: g, client: client, asked: map[string]bool{}}
}

// run queries until all sources have been queried or learnDuration is over. On the first start
// of the whole fleet there is nothing to learn.
func (l *learner) run(ctx context.Context) {
	defer l.gateway.markLocationsKnown()
	if l.gateway.settings.FirstStart {
		l.gateway.learned.Store(true)
		return
	}
	l.awaitEndpoints(ctx)
	limit := time.AfterFunc(maxLocationWait, l.gateway.markLocationsKnown)
	defer limit.Stop()
	clock.Sleep(ctx, learnDelay)
	began := clock.Now()
	l.queries = news.NewQueryCoordinator(l.gateway.members, began)
	for ctx.Err() == nil && clock.Now().Sub(began) < learnDuration {
		if l.round(ctx) {
			l.gateway.learned.Store(true)
		}
		clock.Sleep(ctx, learnInterval)
	}
	l.gateway.learned.Store(true)
}

// awaitEndpoints waits until endpoints are known. This can take long if the store is not
// available at the start.
func (l *learner) awaitEndpoints(ctx context.Context) {
	for ctx.Err() == nil {
		snapshot := l.gateway.tracker.Snapshot()
		if snapshot.Configuration != nil && len(snapshot.Endpoints) > 0 {
			return
		}
		clock.Sleep(ctx, learnInterval/4)
	}
}

// round queries the peers that know locations and were not queried before. If no peer knew
// locations when this VM had received the first reports, it queries its share of the engines.
// It reports whether this VM knows the locations.
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
		l.gateway.markLocationsKnown()
	}
	if !l.queries.Update(survey, clock.Now()) {
		return len(survey.WithPartLocations) > 0
	}
	l.askEngines(ctx, l.gateway.tracker.Snapshot())
	return l.queries.Complete(clock.Now())
}

func (l *learner) askPeer(ctx context.Context, address string) {
	if l.asked[address] {
		return
	}
	l.asked[address] = true
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	locations, err := l.gateway.peers.Locations(ctx, address)
	if err != nil {
		klog.InfoS("place: a peer did not return its known locations", "peer", address, "reason", err.Error())
		return
	}
	l.gateway.table.RecordLocations(locations, clock.Now())
	klog.InfoS("place: learned the known locations of a peer", "peer", address, "places", len(locations))
}

// askEngines queries those engines that are due for this VM.
func (l *learner) askEngines(ctx context.Context, snapshot *knowledge.Snapshot) {
	for _, endpoint := range snapshot.Endpoints {
		service := snapshot.Configuration.Services[endpoint.Service]
		if service == nil || service.Engine == nil {
			continue
		}
		if l.queries.ShouldQuery(endpoint.ID, clock.Now()) {
			l.askEngine(ctx, endpoint)
		}
	}
}

func (l *learner) askEngine(ctx context.Context, endpoint *traffic.Endpoint) {
	parts, err := platform.ListCachedParts(ctx, l.client, endpoint.Address)
	if err != nil {
		klog.InfoS("place: an engine did not list its cached parts", "endpoint", endpoint.ID, "reason", err.Error())
		return
	}
	var locations []news.PartLocation
	for _, part := range parts {
		if part.Tokens >= minPartTokens {
			locations = append(locations, news.PartLocation{Hash: part.ID, Endpoint: endpoint.ID})
		}
	}
	l.gateway.table.RecordLocations(locations, clock.Now())
	l.gateway.table.AnnounceLocations(locations)
	klog.InfoS("place: learned the cached parts of an engine", "endpoint", endpoint.ID, "parts", len(parts))
}

// awaitLocations delays a request with a long shared prompt until the VM has learned the locations
// of its parts, or at most until maxLocationWait after endpoints are known.
func (c *call) awaitLocations() {
	if c.request.Prompt.SharedTokens() < longPromptTokens {
		return
	}
	select {
	case <-c.gateway.locationsKnown:
	case <-c.r.Context().Done():
	}
}
