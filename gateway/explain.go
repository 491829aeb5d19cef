package gateway

import (
	"net/http"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/gateway/budget"
	"cardamompoint.example/cardamompoint/gateway/choice"
	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/gateway/limit"
	"cardamompoint.example/cardamompoint/gateway/reuse"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/gateway/warmup"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
	"cardamompoint.example/cardamompoint/platform"
)

// ExplainPath is where a gateway explains to operators how it would route a request. The query
// has the parameters host, path and prompt; prompt lists the parts as ID:TOKENS, separated by
// commas.
const ExplainPath = "/v1/explain"

// Explanation describes how a gateway would route a request now.
type Explanation struct {
	Route string `json:"route"`
	// Version is the version of the configuration in force.
	Version int64 `json:"version"`
	// KnowledgeAgeMS is the time since the configuration and endpoints were last confirmed, in
	// milliseconds.
	KnowledgeAgeMS int64  `json:"knowledge_age_ms"`
	Service        string `json:"service"`
	// Quarantine is why such a request is refused, nil if it is not.
	Quarantine *QuarantineStatus `json:"quarantine,omitempty"`
	// AwaitsLocations reports whether the VM has just started, so that a request with a long shared
	// prompt waits for the locations of its parts.
	AwaitsLocations bool `json:"awaits_locations,omitempty"`
	// UnreadMS is the longest time that a request for the service lay unread at this VM in the last 30 to 60
	// seconds, in milliseconds.
	UnreadMS int64 `json:"unread_ms"`
	// RetryBudget is the state of the service's retry budget.
	RetryBudget budget.Status `json:"retry_budget"`
	// Limits holds the limits that endpoints of the service have named.
	Limits []limit.Status `json:"limits,omitempty"`
	// WarmUps holds the cold endpoints of the service.
	WarmUps []warmup.Status `json:"warm_ups,omitempty"`
	// IdleResets holds the endpoints of the service that reset idle connections lately.
	IdleResets []reuse.Status `json:"idle_resets,omitempty"`
	// Candidates holds the endpoints in order of preference.
	Candidates []choice.Candidate `json:"candidates"`
	// Unsettled holds the held and doubted entries.
	Unsettled []knowledge.UnsettledEntry `json:"unsettled,omitempty"`
	// Evacuations holds the failure domains whose endpoints are no candidates.
	Evacuations []EvacuationStatus `json:"evacuations,omitempty"`
}

func (g *Gateway) serveExplain(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	explanation, err := g.explain(query.Get("host"), query.Get("path"), query.Get("prompt"))
	if err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	jsonhttp.Write(w, explanation)
}

func (g *Gateway) explain(host, path, parts string) (*Explanation, error) {
	snapshot := g.tracker.Snapshot()
	if snapshot.Configuration == nil {
		return nil, code.New(code.NotReady, "no configuration is known yet")
	}
	route := snapshot.Configuration.Match(host, path)
	if route == nil {
		return nil, code.New(code.UnknownRoute, "no route matches the host %q and the path %q", host, path)
	}
	request := traffic.Request{Prompt: traffic.Prompt{Parts: platform.ParsePromptParts(parts)}}
	service := route.PickService(serviceHash(&request))
	now := clock.Now()
	candidates := g.table.Explain(snapshot.Ready[service], choice.Request{Prompt: &request.Prompt, Objective: route.LatencyObjective, Once: !route.Retryable()}, now)
	return &Explanation{
		Route:           route.Name,
		Version:         snapshot.Configuration.Version,
		KnowledgeAgeMS:  g.knowledgeAge(),
		Service:         service,
		Quarantine:      g.quarantineOf(request.Prompt.PartIDs(), now),
		AwaitsLocations: g.awaitsLocations(&request.Prompt, snapshot.Ready[service]),
		UnreadMS:        g.unread.expected(service, now).Milliseconds(),
		RetryBudget:     g.budget.Status(service, now),
		Limits:          g.limits.Status(snapshot.Ready[service], now),
		WarmUps:         g.warmUps.Status(snapshot.Ready[service], now),
		IdleResets:      g.idleResets.Status(service, now),
		Candidates:      candidates,
		Unsettled:       g.tracker.Unsettled(),
		Evacuations:     evacuationStatus(snapshot, now),
	}, nil
}
