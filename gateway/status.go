package gateway

import (
	"net/http"

	"cardamompoint.example/cardamompoint/gateway/choice"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
)

// StatusPath is where a gateway tells operators what it believes.
const StatusPath = "/v1/status"

// Status is what a gateway believes at one moment.
type Status struct {
	Node     string `json:"node"`
	Ready    bool   `json:"ready"`
	Stopping bool   `json:"stopping"`
	// Version is the configuration in force, 0 if there is none.
	Version int64 `json:"version"`
	// KnowledgeAgeMS is how long ago the knowledge was confirmed, in milliseconds.
	KnowledgeAgeMS int64 `json:"knowledge_age_ms"`
	// Leader is the VM that reads the store for this one, "" if it reads itself.
	Leader     string         `json:"leader,omitempty"`
	StoreLost  bool           `json:"store_lost"`
	InProgress int64          `json:"in_progress"`
	Members    []MemberStatus `json:"members"`
	// Endpoints are those of all services, in the order of their IDs.
	Endpoints []choice.EndpointStatus `json:"endpoints"`
}

// MemberStatus is another VM as this one sees it.
type MemberStatus struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// HeardMS is how long ago it was heard of, in milliseconds.
	HeardMS int64 `json:"heard_ms"`
	Version int64 `json:"version"`
}

// Status returns what the gateway believes now.
func (g *Gateway) Status() Status {
	now := clock.Now()
	leader, _ := g.Leader()
	if leader == g.settings.IP {
		leader = ""
	}
	status := Status{
		Node:           g.settings.NodeName,
		Ready:          g.ready(),
		Stopping:       g.stopping.Load(),
		Version:        g.configVersion(),
		KnowledgeAgeMS: g.knowledgeAge(),
		Leader:         leader,
		StoreLost:      g.reader.StoreLost(),
		InProgress:     g.active.Load(),
		Endpoints:      g.table.Status(now),
	}
	for _, member := range g.members.Alive(now) {
		status.Members = append(status.Members, MemberStatus{
			Address:       member.Report.Address,
			FailureDomain: member.Report.FailureDomain,
			HeardMS:       now.Sub(member.LastHeard).Milliseconds(),
			Version:       member.Report.ConfigVersion,
		})
	}
	return status
}

func (g *Gateway) serveStatus(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.Write(w, g.Status())
}
