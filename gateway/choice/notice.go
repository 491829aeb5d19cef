package choice

import (
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// instance is one start of an endpoint.
type instance struct {
	id   string
	born int64
}

func instanceOf(endpoint *traffic.Endpoint) instance {
	return instance{endpoint.ID, endpoint.StartedMS}
}

// notice is what an instance has said to this VM of the requests that it wants.
type notice struct {
	// leavingAt is when it said first that it is about to stop, 0 if it did not.
	leavingAt clock.Boot
	// restUntil is until when it wants no requests.
	restUntil clock.Boot
}

// noticeLimit bounds the instances whose notices are kept.
const noticeLimit = 4096

// bars reports whether new requests must not go to the instance. One that leaves may
// still get some for the given time.
func (n notice) bars(now clock.Boot, leavingFor time.Duration) bool {
	if now < n.restUntil {
		return true
	}
	return n.leavingAt != 0 && now.Sub(n.leavingAt) >= leavingFor
}

// UseLeaving sets for how long an endpoint that has said that it leaves still gets
// requests for which no other one is left.
func (t *Table) SetLeavingGrace(last time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leavingFor = last
}

// Leaves notes that an endpoint has said that it is about to stop. This holds for the
// instance as long as the process runs, also if its entry vanishes and comes back.
func (t *Table) RecordLeaving(endpoint *traffic.Endpoint, now clock.Boot) {
	t.mu.Lock()
	said := t.notices[instanceOf(endpoint)]
	isNews := said.leavingAt == 0
	if isNews {
		said.leavingAt = now
		t.keepNotice(endpoint, said)
	}
	t.mu.Unlock()
	if isNews {
		klog.InfoS("endpoint: says that it leaves", "endpoint", endpoint.ID, "born", endpoint.StartedMS)
	}
}

// Rests notes that an endpoint wants no requests from this VM until the given time.
func (t *Table) RecordBackoff(endpoint *traffic.Endpoint, until, now clock.Boot) {
	t.mu.Lock()
	said := t.notices[instanceOf(endpoint)]
	isNews := said.restUntil <= now
	if until > said.restUntil {
		said.restUntil = until
		t.keepNotice(endpoint, said)
	}
	t.mu.Unlock()
	if isNews {
		klog.InfoS("endpoint: asks for rest", "endpoint", endpoint.ID, "for_ms", until.Sub(now).Milliseconds())
	}
}

// RestLeft returns how long it takes until the first of the candidates takes requests
// again; 0 if one does not rest, or if none will.
func (t *Table) BackoffRemaining(candidates []*traffic.Endpoint, now clock.Boot) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	least := time.Duration(0)
	for _, known := range t.statesOf(candidates) {
		left := known.notice.restUntil.Sub(now)
		switch {
		case known.notice.leavingAt != 0:
		case left <= 0:
			return 0
		case least == 0 || left < least:
			least = left
		}
	}
	return least
}

// keepNotice remembers what an instance has said. The caller holds the lock.
func (t *Table) keepNotice(endpoint *traffic.Endpoint, said notice) {
	key := instanceOf(endpoint)
	if _, known := t.notices[key]; !known && len(t.notices) >= noticeLimit {
		t.dropOldestNotice()
	}
	t.notices[key] = said
	if known, ok := t.states[endpoint.ID]; ok && known.endpoint != nil && instanceOf(known.endpoint) == key {
		known.notice = said
	}
}

func (t *Table) dropOldestNotice() {
	var oldest instance
	var oldestAt clock.Boot
	for key, said := range t.notices {
		at := max(said.leavingAt, said.restUntil)
		if oldestAt == 0 || at < oldestAt {
			oldest, oldestAt = key, at
		}
	}
	delete(t.notices, oldest)
}
