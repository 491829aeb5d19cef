package choice

import (
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// notice is what an instance has announced to this VM about taking requests.
type notice struct {
	// leavingAt is when it first announced that it is about to stop, 0 if it has not.
	leavingAt clock.Boot
	// backoffUntil is the end of the backoff it has asked for.
	backoffUntil clock.Boot
}

// maxNotices bounds the instances whose notices are kept.
const maxNotices = 4096

// blocks reports whether new requests must not go to the instance. A leaving instance
// may still get some for leavingGrace after its announcement.
func (n notice) blocks(now clock.Boot, leavingGrace time.Duration) bool {
	if now < n.backoffUntil {
		return true
	}
	return n.leavingAt != 0 && now.Sub(n.leavingAt) >= leavingGrace
}

// SetLeavingGrace sets for how long a leaving endpoint still gets requests for which no
// other endpoint is left.
func (t *Table) SetLeavingGrace(grace time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leavingGrace = grace
}

// RecordLeaving records that an endpoint has announced that it is about to stop. It
// applies to the instance for the life of this process, even if the endpoint's entry
// vanishes and comes back.
func (t *Table) RecordLeaving(endpoint *traffic.Endpoint, now clock.Boot) {
	t.mu.Lock()
	notice := t.notices[endpoint.Instance()]
	isNew := notice.leavingAt == 0
	if isNew {
		notice.leavingAt = now
		t.storeNotice(endpoint, notice)
	}
	t.mu.Unlock()
	if isNew {
		klog.InfoS("endpoint: announced that it is leaving", "endpoint", endpoint.ID, "born", endpoint.StartedMS)
	}
}

// RecordBackoff records that an endpoint wants no requests from this VM until the given
// time. It never shortens an earlier backoff.
func (t *Table) RecordBackoff(endpoint *traffic.Endpoint, until, now clock.Boot) {
	t.mu.Lock()
	notice := t.notices[endpoint.Instance()]
	isNew := notice.backoffUntil <= now
	if until > notice.backoffUntil {
		notice.backoffUntil = until
		t.storeNotice(endpoint, notice)
	}
	t.mu.Unlock()
	if isNew {
		klog.InfoS("endpoint: asked for a backoff", "endpoint", endpoint.ID, "for_ms", until.Sub(now).Milliseconds())
	}
}

// BackoffRemaining returns the time until the first of the candidates takes requests
// again. It returns 0 if one takes them now or if all are leaving.
func (t *Table) BackoffRemaining(candidates []*traffic.Endpoint, now clock.Boot) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	shortest := time.Duration(0)
	for _, st := range t.statesOf(candidates) {
		remaining := st.notice.backoffUntil.Sub(now)
		switch {
		case st.notice.leavingAt != 0:
		case remaining <= 0:
			return 0
		case shortest == 0 || remaining < shortest:
			shortest = remaining
		}
	}
	return shortest
}

// storeNotice keeps the notice of an endpoint's instance. If there are maxNotices already,
// it drops the oldest one. The caller holds t.mu.
func (t *Table) storeNotice(endpoint *traffic.Endpoint, notice notice) {
	key := endpoint.Instance()
	if _, known := t.notices[key]; !known && len(t.notices) >= maxNotices {
		t.dropOldestNotice()
	}
	t.notices[key] = notice
	if st, ok := t.states[endpoint.ID]; ok && st.endpoint != nil && st.endpoint.Instance() == key {
		st.notice = notice
	}
}

// dropOldestNotice drops the notice whose announcement or backoff end is oldest. The
// caller holds t.mu.
func (t *Table) dropOldestNotice() {
	var oldest traffic.Instance
	var oldestAt clock.Boot
	for key, notice := range t.notices {
		at := max(notice.leavingAt, notice.backoffUntil)
		if oldestAt == 0 || at < oldestAt {
			oldest, oldestAt = key, at
		}
	}
	delete(t.notices, oldest)
}
