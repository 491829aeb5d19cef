package gateway

import (
	"cmp"
	"slices"

	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// EvacuationStatus describes the evacuation of a failure domain as this VM knows it.
type EvacuationStatus struct {
	FailureDomain string `json:"failure_domain"`
	// Position is the position of the operator's order in the store's history.
	Position traffic.Position `json:"position"`
	// KnownMS is the time since this VM learned of the order, in milliseconds.
	KnownMS int64 `json:"known_ms"`
	// Endpoints is the number of endpoints that get no new requests because of it.
	Endpoints int `json:"endpoints"`
}

// evacuationStatus returns the evacuations of a snapshot, sorted by failure domain.
func evacuationStatus(snapshot *knowledge.Snapshot, now clock.Boot) []EvacuationStatus {
	endpoints := map[string]int{}
	for _, endpoint := range snapshot.Endpoints {
		endpoints[endpoint.FailureDomain]++
	}
	var all []EvacuationStatus
	for domain, evacuation := range snapshot.Evacuated {
		all = append(all, EvacuationStatus{
			FailureDomain: domain,
			Position:      evacuation.Position,
			KnownMS:       now.Sub(evacuation.LearnedAt).Milliseconds(),
			Endpoints:     endpoints[domain],
		})
	}
	slices.SortFunc(all, func(a, b EvacuationStatus) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	return all
}
