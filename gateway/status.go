package gateway

import (
	"net/http"

	"cardamompoint.example/cardamompoint/gateway/choice"
	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
)

// StatusPath is where a gateway serves its status to operators.
const StatusPath = "/v1/status"

// Status is the status of a gateway: its own state and its view of the fleet.
type Status struct {
	Node     string `json:"node"`
	Ready    bool   `json:"ready"`
	Stopping bool   `json:"stopping"`
	// Version is the version of the configuration in force, 0 if there is none.
	Version int64 `json:"version"`
	// KnowledgeAgeMS is the time since the configuration and endpoints were last confirmed, in
	// milliseconds.
	KnowledgeAgeMS int64 `json:"knowledge_age_ms"`
	// Leader is the address of the VM that reads the store for this one, "" if this VM reads it
	// itself.
	Leader    string `json:"leader,omitempty"`
	StoreLost bool   `json:"store_lost"`
	// StoreAvailableMS is the length of the last known span in which the store was available to some
	// VM, in milliseconds; 0 if none is known.
	StoreAvailableMS int64 `json:"store_available_ms"`
	// Position is the position in the store's history that this VM's data is complete up to.
	Position traffic.Position `json:"position"`
	// Unsettled holds the held and doubted entries.
	Unsettled []knowledge.UnsettledEntry `json:"unsettled,omitempty"`
	// Evacuations holds the evacuations in force, sorted by failure domain.
	Evacuations []EvacuationStatus `json:"evacuations,omitempty"`
	InProgress  int64              `json:"in_progress"`
	Callers     CallersStatus      `json:"callers"`
	Members     []MemberStatus     `json:"members"`
	// Endpoints holds the endpoints of all services, sorted by ID.
	Endpoints []choice.EndpointStatus `json:"endpoints"`
	// Quarantines holds the prompt parts on which engines crash.
	Quarantines []QuarantineStatus `json:"quarantines,omitempty"`
}

// CallersStatus describes the connections of callers.
type CallersStatus struct {
	Open int `json:"open"`
	// Closed is the number of those that were closed since the start of the process, Unanswered that
	// of those among them on which bytes got no response.
	Closed     int64 `json:"closed"`
	Unanswered int64 `json:"unanswered"`
}

// MemberStatus describes another VM as this one sees it.
type MemberStatus struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// HeardMS is the time since the last sign of life of the VM, in milliseconds.
	HeardMS int64 `json:"heard_ms"`
	Version int64 `json:"version"`
}

// Status returns the current status.
func (g *Gateway) Status() Status {
	now := clock.Now()
	leader, _ := g.Leader()
	if leader == g.settings.IP {
		leader = ""
	}
	status := Status{
		Node:             g.settings.NodeName,
		Ready:            g.ready(),
		Stopping:         g.stopping.Load(),
		Version:          g.configVersion(),
		KnowledgeAgeMS:   g.knowledgeAge(),
		Leader:           leader,
		StoreLost:        g.reader.StoreLost(),
		StoreAvailableMS: g.tracker.StoreAvailable().Milliseconds(),
		Position:         g.tracker.Position(),
		Unsettled:        g.tracker.Unsettled(),
		Evacuations:      evacuationStatus(g.tracker.Snapshot(), now),
		InProgress:       g.active.Load(),
		Callers:          g.callersStatus(),
		Endpoints:        g.table.Status(now),
	}
	for _, q := range g.crashes.Quarantines(now) {
		status.Quarantines = append(status.Quarantines, quarantineStatus(q, now))
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

func (g *Gateway) callersStatus() CallersStatus {
	status := CallersStatus{Closed: g.closures.closed.Load(), Unanswered: g.closures.unanswered.Load()}
	if conns := g.callerConns.Load(); conns != nil {
		status.Open = conns.open.count()
	}
	return status
}

func (g *Gateway) serveStatus(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.Write(w, g.Status())
}
