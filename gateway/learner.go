package gateway

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
	"cardamompoint.example/cardamompoint/platform"
)

const (
	// learnDelay is how long after its start a VM sends its first queries. By then it has
	// received reports from the other VMs.
	learnDelay = 120 * time.Millisecond
	// maxQueriedPeers bounds the number of peers queried for the locations of prompt parts.
	// maxQueriedPeersLarge is the same for large fleets, in which all peers know nearly the same
	// locations.
	maxQueriedPeers      = 8
	maxQueriedPeersLarge = 3
	// learnDuration is how long a VM queries other VMs that start at the same time.
	learnDuration = 4 * time.Second
	// learnInterval is the interval between two rounds of queries.
	learnInterval = 60 * time.Millisecond
	// learnQueryTimeout bounds a query.
	learnQueryTimeout = 700 * time.Millisecond
	// minPartTokens is the size of the smallest prompt part whose location is shared.
	minPartTokens = 100
)

// learner finds the locations of prompt parts when a VM starts: from VMs that know them, or
// from the engines. VMs that start together divide the engines among themselves.
type learner struct {
	gateway *Gateway
	client  *http.Client
	// queriedPeers holds the addresses of the peers that were queried.
	queriedPeers map[string]bool
	// queries decides which engines this VM queries.
	queries *gossip.QueryCoordinator
}

func newLearner(g *Gateway) *learner {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: jsonhttp.MaxHeaderBytes}, Timeout: learnQueryTimeout}
	return &learner{gateway: g, client: client, queriedPeers: map[string]bool{}}
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
	l.queries = gossip.NewQueryCoordinator(l.gateway.members, began)
	for ctx.Err() == nil && clock.Now().Sub(began) < learnDuration {
		if l.runRound(ctx) {
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

// runRound queries the peers that know locations and were not queried before. If no peer knew
// locations when this VM had received the first reports, it queries its share of the engines.
// It reports whether this VM knows the locations.
func (l *learner) runRound(ctx context.Context) bool {
	limit := maxQueriedPeers
	if l.gateway.members.LargeFleet() {
		limit = maxQueriedPeersLarge
	}
	survey := l.gateway.members.Survey(l.gateway.settings.FailureDomain, clock.Now())
	for _, address := range survey.WithPartLocations {
		if len(l.queriedPeers) < limit {
			l.queryPeer(ctx, address)
		}
	}
	allKnow := len(survey.WithPartLocations) == survey.Alive
	if allKnow && l.gateway.learned.Load() {
		l.gateway.markLocationsKnown()
	}
	if !l.queries.Update(survey, clock.Now()) {
		return len(survey.WithPartLocations) > 0
	}
	l.queryEngines(ctx, l.gateway.tracker.Snapshot())
	return l.queries.Complete(clock.Now())
}

// queryPeer queries a peer for the known locations, unless it was queried before.
func (l *learner) queryPeer(ctx context.Context, address string) {
	if l.queriedPeers[address] {
		return
	}
	l.queriedPeers[address] = true
	ctx, cancel := context.WithTimeout(ctx, learnQueryTimeout)
	defer cancel()
	locations, err := l.gateway.peers.Locations(ctx, address)
	if err != nil {
		klog.InfoS("place: a peer did not return its known locations", "peer", address, "reason", err.Error())
		return
	}
	l.gateway.table.RecordLocations(locations, clock.Now())
	klog.InfoS("place: learned the known locations of a peer", "peer", address, "places", len(locations))
}

// queryEngines queries those engines that are due for this VM.
func (l *learner) queryEngines(ctx context.Context, snapshot *knowledge.Snapshot) {
	for _, endpoint := range snapshot.Endpoints {
		service := snapshot.Configuration.Services[endpoint.Service]
		// The queries before this one may have taken long, so the newest evacuations count.
		if service == nil || service.Engine == nil || l.gateway.tracker.Snapshot().IsEvacuated(endpoint) {
			continue
		}
		if l.queries.ShouldQuery(endpoint.ID, clock.Now()) {
			l.queryEngine(ctx, endpoint)
		}
	}
}

// queryEngine records and announces the prompt parts that an engine has cached.
func (l *learner) queryEngine(ctx context.Context, endpoint *traffic.Endpoint) {
	parts, err := platform.ListCachedParts(ctx, l.client, endpoint.Address)
	if err != nil {
		klog.InfoS("place: an engine did not list its cached parts", "endpoint", endpoint.ID, "reason", err.Error())
		return
	}
	var locations []gossip.PartLocation
	for _, part := range parts {
		if part.Tokens >= minPartTokens {
			locations = append(locations, gossip.PartLocation{Hash: part.ID, Endpoint: endpoint.ID})
		}
	}
	l.gateway.table.RecordLocations(locations, clock.Now())
	l.gateway.table.AnnounceLocations(locations)
	klog.InfoS("place: learned the cached parts of an engine", "endpoint", endpoint.ID, "parts", len(parts))
}
