package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// validHistory returns a history with one call of each kind and no violation.
func validHistory() *callHistory {
	start := time.Now()
	h := &callHistory{
		revoked: map[string]time.Time{"old": start},
		removed: map[string]time.Time{"/version-1/": start.Add(time.Minute)},
		record:  &faultRecord{published: map[string]time.Time{"/version-1/": start.Add(3 * time.Second)}},
	}
	for i, path := range []string{"/deposit/1", "/lookup/1", "/version-1/"} {
		id := string(rune('a' + i))
		sent := start.Add(time.Duration(i) * time.Second)
		h.calls = append(h.calls, callRecord{id: id, path: path, key: hosted.Key, sent: sent, ended: sent.Add(time.Second), status: http.StatusOK, body: "answer to " + id, complete: true})
		h.seen = append(h.seen, workerRequest{"plain", "w1", hosted.SeenRequest{ID: id, Target: path, Workspace: hosted.Workspace, Body: requestBody, Executed: true, ReceivedAt: sent}})
	}
	return h
}

// TestDisturbedVMsAreExemptFromTimingChecks exceeds all time limits at a VM that a fault
// affects: the timing checks must not report it.
func TestDisturbedVMsAreExemptFromTimingChecks(t *testing.T) {
	h := validHistory()
	start := h.calls[0].sent
	h.record.vmFaults = []faultPeriod{{gateway: 0, from: start, to: start.Add(2 * time.Minute)}}
	for i := range 20 {
		call := h.calls[2]
		call.id, call.status, call.body = string(rune('k'+i)), http.StatusNotFound, ""
		call.sent = start.Add(maxConfigDelay + time.Second)
		call.ended = call.sent
		h.calls = append(h.calls, call)
		h.record.readiness = append(h.record.readiness, readinessSample{0, call.sent, false})
	}
	h.record.drainPeriods = []drainPeriod{{worker: "w1", from: start.Add(-time.Minute)}}
	h.evacuations = []evacuationPeriod{{workers: map[string]bool{"w1": true}, from: start.Add(-maxEvacuationDelay), to: start.Add(time.Minute)}}
	h.record.rewritten = map[string]time.Time{"/version-1/": start}
	for _, name := range []string{"config in time", "rewritten in time", "drain in time", "evacuated in time", "readiness in time", "served in time"} {
		if violations := historyChecks[name](h); len(violations) > 0 {
			t.Errorf("%s: %q", name, violations)
		}
	}
}

// TestRequestsForThePreviousInstanceDoNotCount lets a leaving worker receive a request for the
// previous instance at its address, which it rejects: checkLeaving must not report it.
func TestRequestsForThePreviousInstanceDoNotCount(t *testing.T) {
	h := validHistory()
	h.calls[0].leaving, h.calls[0].ended = "w1", h.calls[0].sent
	h.calls[2].sent = h.calls[0].sent.Add(drainTime + time.Millisecond)
	h.seen[2].Header = http.Header{"Cardamompoint-Expect-Instance": {"w0"}}
	if violations := checkLeaving(h); len(violations) > 0 {
		t.Errorf("found %q", violations)
	}
	h.seen[2].Header = http.Header{"Cardamompoint-Expect-Instance": {"w1"}}
	if violations := checkLeaving(h); len(violations) == 0 {
		t.Error("a request for the worker itself was not reported")
	}
}

// TestSoakChecksCanFail corrupts a valid history in one way at a time: exactly the named check
// must report it.
func TestSoakChecksCanFail(t *testing.T) {
	for name, test := range map[string]struct {
		check   string
		corrupt func(*callHistory)
	}{
		"no violation":                              {"", func(*callHistory) {}},
		"a deposit executed twice":                  {"runs", func(h *callHistory) { h.seen = append(h.seen, h.seen[0]) }},
		"a lookup executed three times":             {"runs", func(h *callHistory) { h.seen = append(h.seen, h.seen[1], h.seen[1]) }},
		"a not-run status after an execution":       {"not run", func(h *callHistory) { h.calls[0].status = http.StatusServiceUnavailable }},
		"an answer to another request":              {"answers", func(h *callHistory) { h.calls[0].body = "answer to z" }},
		"a status that HTTP does not allow":         {"answers", func(h *callHistory) { h.calls[0].status = 600 }},
		"a truncated answer that ended as complete": {"answers", func(h *callHistory) { h.calls[0].body = "answer" }},
		"a revoked key": {"keys", func(h *callHistory) {
			h.calls[0].key, h.calls[0].sent = "old", h.calls[0].sent.Add(keyLease+time.Millisecond)
		}},
		"a version served, then unknown": {"versions", func(h *callHistory) { h.calls = append(h.calls, laterUnknown(h.calls[2])) }},
		"too many retries":               {"retries", func(h *callHistory) { h.seen = append(h.seen, manyRetries(h.seen[1])...) }},
		"another path":                   {"unasked", func(h *callHistory) { h.seen[0].Target = "/lookup/1" }},
		"another workspace":              {"unasked", func(h *callHistory) { h.seen[0].Workspace = "other" }},
		"a leaving worker": {"leaving", func(h *callHistory) {
			h.calls[0].leaving, h.calls[0].ended = "w1", h.calls[0].sent
			h.calls[2].sent = h.calls[0].sent.Add(drainTime + time.Millisecond)
		}},
		"a worker within its Retry-After": {"backoff", func(h *callHistory) {
			h.seen[0].Behavior, h.seen[0].Executed = hosted.RefuseWithRetryAfter, false
			h.calls[0].ended = h.calls[0].sent
			at := h.calls[0].sent.Add(retryAfterGrace + time.Millisecond)
			for i := range retryAfterSlack + 1 {
				id := string(rune('k' + i))
				h.calls = append(h.calls, callRecord{id: id, path: "/lookup/1", key: hosted.Key, sent: at, ended: at, status: http.StatusBadGateway})
				h.seen = append(h.seen, workerRequest{"plain", "w1", hosted.SeenRequest{ID: id, Target: "/lookup/1", Workspace: hosted.Workspace, Body: requestBody, Executed: true, ReceivedAt: at}})
			}
		}},
		"a worker over the limit that it names": {"limits", func(h *callHistory) {
			from := h.calls[1].sent.Add(-stablePeriod - time.Millisecond)
			h.limits = []limitPeriod{{"w1", from, from.Add(time.Minute)}}
			for i := range int(limitFactor*namedLimit*limitWindow.Seconds()) + limitSlack + 1 {
				call, seen := h.calls[1], h.seen[1]
				call.id = fmt.Sprint("limited-", i)
				call.body, seen.ID = "answer to "+call.id, call.id
				h.calls, h.seen = append(h.calls, call), append(h.seen, seen)
			}
		}},
		"a published version unknown": {"config in time", func(h *callHistory) {
			call := h.calls[2]
			call.id, call.status, call.body, call.gateway = "late", http.StatusNotFound, "", 1
			call.sent = h.record.published[call.path].Add(maxConfigDelay + time.Millisecond)
			call.ended = call.sent.Add(time.Second)
			h.calls = append(h.calls, call)
		}},
		"a removed version served": {"config in time", func(h *callHistory) {
			h.calls[2].sent = h.removed["/version-1/"].Add(maxConfigDelay + time.Millisecond)
			h.calls[2].ended = h.calls[2].sent.Add(time.Second)
		}},
		"a path unknown after it was published again": {"rewritten in time", func(h *callHistory) {
			call := h.calls[2]
			call.id, call.status, call.body, call.gateway = "late", http.StatusNotFound, "", 1
			call.sent = h.record.published[call.path].Add(stablePeriod + time.Millisecond)
			call.ended = call.sent.Add(time.Second)
			h.calls = append(h.calls, call)
			h.record.rewritten = map[string]time.Time{call.path: call.sent.Add(-maxConfigDelay - time.Millisecond)}
			h.record.vmFaults = []faultPeriod{{gateway: allVMs, from: h.calls[0].sent, to: call.sent.Add(-stablePeriod)}}
		}},
		"a draining worker": {"drain in time", func(h *callHistory) {
			h.seen[0].Header = http.Header{"Cardamompoint-Expect-Instance": {"w1"}}
			h.record.drainPeriods = []drainPeriod{{worker: "w1", from: h.calls[0].sent.Add(-maxConfigDelay - drainTime - time.Millisecond)}}
		}},
		"a request to an evacuated worker": {"evacuated in time", func(h *callHistory) {
			from := h.calls[0].sent.Add(-maxEvacuationDelay - time.Millisecond)
			h.evacuations = []evacuationPeriod{{workers: map[string]bool{"w1": true}, from: from, to: h.calls[1].sent}}
		}},
		"an unready VM": {"readiness in time", func(h *callHistory) {
			for i := range 8 {
				at := h.calls[0].sent.Add(time.Duration(i) * readinessPeriod)
				h.record.readiness = append(h.record.readiness, readinessSample{0, at, i > 1})
			}
		}},
		"unserved requests": {"served in time", func(h *callHistory) {
			for i := range unservedSlack + 1 {
				call := h.calls[0]
				call.id, call.status, call.body, call.complete = string(rune('k'+i)), http.StatusBadGateway, "", false
				h.calls = append(h.calls, call)
			}
		}},
		"another body": {"unasked", func(h *callHistory) { h.seen[0].Body = "more" }},
	} {
		t.Run(name, func(t *testing.T) {
			h := validHistory()
			test.corrupt(h)
			for check, run := range historyChecks {
				if violations := run(h); (len(violations) > 0) != (check == test.check) {
					t.Errorf("check %q found %q", check, violations)
				}
			}
		})
	}
}

// laterUnknown returns the same call a second later, with status 404.
func laterUnknown(call callRecord) callRecord {
	call.id, call.status, call.body = "later", http.StatusNotFound, ""
	call.sent = call.ended.Add(time.Second)
	call.ended = call.sent.Add(time.Second)
	return call
}

// manyRetries returns more repeat arrivals of a request than the retry budget allows.
func manyRetries(seen workerRequest) (more []workerRequest) {
	seen.Executed = false
	for range retrySlack + 2 {
		more = append(more, seen)
	}
	return more
}
