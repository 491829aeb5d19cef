package choice

import (
	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// RecordContention records how long work takes on an endpoint's host, as a multiple of the usual time, as the endpoint
// stated it with an answer; 0 stands for no statement.
func (t *Table) RecordContention(endpoint *traffic.Endpoint, stated float64, now clock.Boot) {
	if stated <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.contention.Record(endpoint, stated, now)
	if st, ok := t.states[endpoint.ID]; ok {
		t.copyContention(st, endpoint.Instance())
	}
}

// copyContention copies the newest statement of an instance to the state of its endpoint, unless that is the state of
// another instance. The caller holds t.mu.
func (t *Table) copyContention(st *state, key traffic.Instance) {
	if st.endpoint != nil && st.endpoint.Instance() == key {
		st.contention = t.contention.Newest(key)
	}
}

// applyContentions records statements that another VM reported. The caller holds t.mu.
func (t *Table) applyContentions(reported []gossip.EndpointContention, now clock.Boot) {
	for i := range reported {
		st, ok := t.states[reported[i].Endpoint]
		service := ""
		if ok && st.endpoint != nil {
			service = st.endpoint.Service
		}
		t.contention.Relay(&reported[i], service, now)
		if ok {
			t.copyContention(st, reported[i].Instance())
		}
	}
}

// Contended returns the number of endpoints whose hosts are contended.
func (t *Table) Contended(now clock.Boot) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return int64(t.contention.Contended(now))
}
