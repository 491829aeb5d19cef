package gateway

import (
	"net/http"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/gateway/choice"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
	"cardamompoint.example/cardamompoint/platform"
)

// ExplainPath is where a gateway tells operators what it would do with a request.
// The query has host, path, and prompt: the parts as ID:TOKENS, separated by
// commas.
const ExplainPath = "/v1/explain"

// Explanation tells what a gateway would do with a request now.
type Explanation struct {
	Route string `json:"route"`
	// Version is the configuration that decides.
	Version int64 `json:"version"`
	// KnowledgeAgeMS is how long ago the knowledge was confirmed, in milliseconds.
	KnowledgeAgeMS int64  `json:"knowledge_age_ms"`
	Service        string `json:"service"`
	// Candidates are the endpoints in the order in which they would be taken.
	Candidates []choice.Candidate `json:"candidates"`
}

func (g *Gateway) serveExplanation(w http.ResponseWriter, r *http.Request) {
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
		return nil, code.New(code.UnknownRoute, "no route has the host %q and the path %q", host, path)
	}
	request := traffic.Request{Prompt: traffic.Prompt{Parts: platform.ParsePromptParts(parts)}}
	service := route.PickService(serviceHash(&request))
	return &Explanation{
		Route:          route.Name,
		Version:        snapshot.Configuration.Version,
		KnowledgeAgeMS: g.knowledgeAge(),
		Service:        service,
		Candidates:     g.table.Explain(snapshot.Ready[service], &request.Prompt, route.LatencyObjective, clock.Now()),
	}, nil
}
