package soak

import (
	"net/http"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// soundHistory has one call of each kind and no violation.
func soundHistory() *soakHistory {
	start := time.Now()
	h := &soakHistory{
		revoked: map[string]time.Time{"old": start},
		removed: map[string]time.Time{"/version-1/": start.Add(time.Minute)},
		record:  &soakRecord{published: map[string]time.Time{"/version-1/": start.Add(3 * time.Second)}},
	}
	for i, path := range []string{"/deposit/1", "/lookup/1", "/version-1/"} {
		id := string(rune('a' + i))
		sent := start.Add(time.Duration(i) * time.Second)
		h.calls = append(h.calls, soakCall{id: id, path: path, key: hosted.Key, sent: sent, ended: sent.Add(time.Second), status: http.StatusOK, body: "answer to " + id, whole: true})
		h.seen = append(h.seen, soakSeen{"plain", "w1", hosted.SeenRequest{ID: id, Target: path, Workspace: hosted.Workspace, Body: soakBody, Executed: true, ReceivedAt: sent}})
	}
	return h
}

// TestHarmedVMsAreNotHeldToTimes breaks the bounds of time at a VM that is not in touch.
func TestHarmedVMsAreNotHeldToTimes(t *testing.T) {
	h := soundHistory()
	start := h.calls[0].sent
	h.record.spells = []soakSpell{{gateway: 0, from: start, to: start.Add(2 * time.Minute)}}
	for i := range 20 {
		call := h.calls[2]
		call.id, call.status, call.body = string(rune('k'+i)), http.StatusNotFound, ""
		call.sent = start.Add(soakConfig + time.Second)
		call.ended = call.sent
		h.calls = append(h.calls, call)
		h.record.readiness = append(h.record.readiness, soakReady{0, call.sent, false})
	}
	h.record.drained = []soakSpan{{worker: "w1", from: start.Add(-time.Minute)}}
	for _, name := range []string{"config in time", "drain in time", "readiness in time", "served in time"} {
		if bad := soakChecks[name](h); len(bad) > 0 {
			t.Errorf("%s: %q", name, bad)
		}
	}
}

// TestRequestsForTheInstanceBeforeDoNotCount lets requests reach a leaving worker that were
// meant for the instance that was at its address before: it turns them away.
func TestRequestsForTheInstanceBeforeDoNotCount(t *testing.T) {
	h := soundHistory()
	h.calls[0].leaving, h.calls[0].ended = "w1", h.calls[0].sent
	h.calls[2].sent = h.calls[0].sent.Add(soakDrain + time.Millisecond)
	h.seen[2].Header = http.Header{"Cardamompoint-Expect-Instance": {"w0"}}
	if bad := checkLeaving(h); len(bad) > 0 {
		t.Errorf("found %q", bad)
	}
	h.seen[2].Header = http.Header{"Cardamompoint-Expect-Instance": {"w1"}}
	if bad := checkLeaving(h); len(bad) == 0 {
		t.Error("a request that was meant for it is not found")
	}
}

// TestSoakChecksCanFail breaks a sound history in one way after the other; just
// the check that is meant to see it goes red.
func TestSoakChecksCanFail(t *testing.T) {
	for name, test := range map[string]struct {
		check  string
		damage func(*soakHistory)
	}{
		"nothing":          {"", func(*soakHistory) {}},
		"a deposit twice":  {"runs", func(h *soakHistory) { h.seen = append(h.seen, h.seen[0]) }},
		"a lookup thrice":  {"runs", func(h *soakHistory) { h.seen = append(h.seen, h.seen[1], h.seen[1]) }},
		"a false promise":  {"not run", func(h *soakHistory) { h.calls[0].status = http.StatusServiceUnavailable }},
		"a foreign answer": {"answers", func(h *soakHistory) { h.calls[0].body = "answer to z" }},
		"half an answer":   {"answers", func(h *soakHistory) { h.calls[0].body = "answer" }},
		"a revoked key": {"keys", func(h *soakHistory) {
			h.calls[0].key, h.calls[0].sent = "old", h.calls[0].sent.Add(soakKeyLease+time.Millisecond)
		}},
		"a version back":    {"versions", func(h *soakHistory) { h.calls = append(h.calls, laterUnknown(h.calls[2])) }},
		"too many retries":  {"retries", func(h *soakHistory) { h.seen = append(h.seen, manyRetries(h.seen[1])...) }},
		"another path":      {"unasked", func(h *soakHistory) { h.seen[0].Target = "/lookup/1" }},
		"another workspace": {"unasked", func(h *soakHistory) { h.seen[0].Workspace = "other" }},
		"a leaving worker": {"leaving", func(h *soakHistory) {
			h.calls[0].leaving, h.calls[0].ended = "w1", h.calls[0].sent
			h.calls[2].sent = h.calls[0].sent.Add(soakDrain + time.Millisecond)
		}},
		"a resting worker": {"rest", func(h *soakHistory) {
			h.seen[0].Behavior, h.seen[0].Executed = hosted.RefuseWithRetryAfter, false
			h.calls[0].ended = h.calls[0].sent
			at := h.calls[0].sent.Add(soakRestNoticed + time.Millisecond)
			for i := range soakRestSlack + 1 {
				id := string(rune('k' + i))
				h.calls = append(h.calls, soakCall{id: id, path: "/lookup/1", key: hosted.Key, sent: at, ended: at, status: http.StatusBadGateway})
				h.seen = append(h.seen, soakSeen{"plain", "w1", hosted.SeenRequest{ID: id, Target: "/lookup/1", Workspace: hosted.Workspace, Body: soakBody, Executed: true, ReceivedAt: at}})
			}
		}},
		"a version too late": {"config in time", func(h *soakHistory) {
			call := h.calls[2]
			call.id, call.status, call.body, call.gateway = "late", http.StatusNotFound, "", 1
			call.sent = h.record.published[call.path].Add(soakConfig + time.Millisecond)
			call.ended = call.sent.Add(time.Second)
			h.calls = append(h.calls, call)
		}},
		"a version too long": {"config in time", func(h *soakHistory) {
			h.calls[2].sent = h.removed["/version-1/"].Add(soakConfig + time.Millisecond)
			h.calls[2].ended = h.calls[2].sent.Add(time.Second)
		}},
		"a worker that drains": {"drain in time", func(h *soakHistory) {
			h.seen[0].Header = http.Header{"Cardamompoint-Expect-Instance": {"w1"}}
			h.record.drained = []soakSpan{{worker: "w1", from: h.calls[0].sent.Add(-soakConfig - soakDrain - time.Millisecond)}}
		}},
		"an unready VM": {"readiness in time", func(h *soakHistory) {
			for i := range 8 {
				at := h.calls[0].sent.Add(time.Duration(i) * readyPeriod)
				h.record.readiness = append(h.record.readiness, soakReady{0, at, i > 1})
			}
		}},
		"unserved requests": {"served in time", func(h *soakHistory) {
			for i := range unservedSlack + 1 {
				call := h.calls[0]
				call.id, call.status, call.body, call.whole = string(rune('k'+i)), http.StatusBadGateway, "", false
				h.calls = append(h.calls, call)
			}
		}},
		"another body": {"unasked", func(h *soakHistory) { h.seen[0].Body = "more" }},
	} {
		t.Run(name, func(t *testing.T) {
			h := soundHistory()
			test.damage(h)
			for check, find := range soakChecks {
				if bad := find(h); (len(bad) > 0) != (check == test.check) {
					t.Errorf("check %q found %q", check, bad)
				}
			}
		})
	}
}

// laterUnknown is the same call a second later, answered as unknown.
func laterUnknown(call soakCall) soakCall {
	call.id, call.status, call.body = "later", http.StatusNotFound, ""
	call.sent = call.ended.Add(time.Second)
	call.ended = call.sent.Add(time.Second)
	return call
}

// manyRetries are arrivals beyond the first of many refused sends.
func manyRetries(seen soakSeen) (more []soakSeen) {
	seen.Executed = false
	for range soakRetrySlack + 2 {
		more = append(more, seen)
	}
	return more
}
