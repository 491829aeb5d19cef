package choice

import (
	"cmp"
	"slices"

	"cardamompoint.example/cardamompoint/gateway/estimate"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// EndpointStatus is the load and health of one endpoint as this VM knows them.
type EndpointStatus struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	// Load is the estimated number of requests in progress there, Own the number of this
	// VM's requests among them.
	Load int `json:"load"`
	Own  int `json:"own"`
	// PrefillTokens is the number of prompt tokens that it has still to prefill.
	PrefillTokens int `json:"reading"`
	// FaultPercent is the estimated chance that a request fails, in percent.
	FaultPercent int `json:"fault_percent"`
	// Avoided reports whether the endpoint is being avoided for a while.
	Avoided bool `json:"avoided"`
	// Leaving reports whether it has announced that it is about to stop.
	Leaving bool `json:"leaving,omitempty"`
	// BackoffMS is how long it still wants no requests, in milliseconds.
	BackoffMS int64 `json:"rest_ms,omitempty"`
}

// Status returns the status of all listed endpoints, sorted by ID.
func (t *Table) Status(now clock.Boot) []EndpointStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	models := t.failureModels(now)
	var all []EndpointStatus
	for id, st := range t.states {
		if st.endpoint == nil {
			continue
		}
		all = append(all, EndpointStatus{
			ID:            id,
			Service:       st.endpoint.Service,
			Address:       st.endpoint.Address,
			Load:          st.load(now),
			Own:           st.ownRequests,
			PrefillTokens: st.prefillTokens + st.peerPrefillTokens,
			FaultPercent:  int(models[st.endpoint.Service].Probability(st.outcomes.AsOf(now)) * 100),
			Avoided:       now < st.avoidUntil,
			Leaving:       st.notice.leavingAt != 0,
			BackoffMS:     max(0, st.notice.backoffUntil.Sub(now)).Milliseconds(),
		})
	}
	slices.SortFunc(all, func(a, b EndpointStatus) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// failureModels compares the outcomes of the listed endpoints of each service. The caller
// holds t.mu.
func (t *Table) failureModels(now clock.Boot) map[string]estimate.FailureModel {
	failures := map[string]*estimate.Failures{}
	for _, st := range t.states {
		if st.endpoint == nil {
			continue
		}
		if failures[st.endpoint.Service] == nil {
			failures[st.endpoint.Service] = &estimate.Failures{}
		}
		failures[st.endpoint.Service].Add(st.outcomes.AsOf(now))
	}
	models := make(map[string]estimate.FailureModel, len(failures))
	for service, compared := range failures {
		models[service] = compared.Model()
	}
	return models
}
