package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// processWorker is the key of what one process of a VM knows about a worker.
type processWorker struct {
	gateway int
	boot    int
	worker  string
}

// intended reports whether a request was for the worker that received it. A request for the
// previous instance at the address gets 421 and does not count.
func (r *workerRequest) intended() bool {
	expected := r.Header.Get("Cardamompoint-Expect-Instance")
	return expected == "" || expected == r.worker
}

// callsByID returns the calls by request ID.
func (h *callHistory) callsByID() map[string]*callRecord {
	calls := map[string]*callRecord{}
	for i := range h.calls {
		calls[h.calls[i].id] = &h.calls[i]
	}
	return calls
}

// checkLeaving checks that a VM that forwarded a worker's announcement that it leaves sends the
// worker no request that a caller sent more than drainTime later.
func checkLeaving(h *callHistory) (violations []string) {
	announced := map[processWorker]time.Time{}
	for _, call := range h.calls {
		process := processWorker{call.gateway, call.boot, call.leaving}
		if first, known := announced[process]; call.leaving != "" && (!known || call.ended.Before(first)) {
			announced[process] = call.ended
		}
	}
	calls := h.callsByID()
	for _, seen := range h.seen {
		call, known := calls[seen.ID]
		if !known || !seen.intended() {
			continue
		}
		at, known := announced[processWorker{call.gateway, call.boot, seen.worker}]
		if known && call.sent.After(at.Add(drainTime)) {
			violations = append(violations, fmt.Sprintf("%s reached %s %v after VM %d was told that the worker leaves", seen.ID, seen.worker, call.sent.Sub(at), call.gateway))
		}
	}
	return violations
}

// checkRetryAfter checks that a VM that received a Retry-After of a worker sends it at most
// retryAfterSlack requests until that time is over.
func checkRetryAfter(h *callHistory) (violations []string) {
	calls := h.callsByID()
	type backoff struct{ noticed, until time.Time }
	backoffs := map[processWorker]backoff{}
	for _, seen := range h.seen {
		call, known := calls[seen.ID]
		if known && seen.Behavior == hosted.RefuseWithRetryAfter && learnedOfBackoff(call) {
			backoffs[processWorker{call.gateway, call.boot, seen.worker}] = backoff{call.ended.Add(retryAfterGrace), seen.ReceivedAt.Add(retryAfter)}
		}
	}
	late := map[processWorker]int{}
	for _, seen := range h.seen {
		call, known := calls[seen.ID]
		if !known {
			continue
		}
		key := processWorker{call.gateway, call.boot, seen.worker}
		if active, known := backoffs[key]; known && call.sent.After(active.noticed) && seen.ReceivedAt.Before(active.until) {
			late[key]++
		}
	}
	for key, count := range late {
		if count > retryAfterSlack {
			violations = append(violations, fmt.Sprintf("%d requests reached %s from VM %d within its Retry-After", count, key.worker, key.gateway))
		}
	}
	return violations
}

// learnedOfBackoff reports whether the VM surely read the worker's Retry-After: only then is a
// request that must not be repeated sent to another worker or rejected as not run.
func learnedOfBackoff(call *callRecord) bool {
	return strings.HasPrefix(call.path, "/deposit/") && (call.status == http.StatusOK || call.status == http.StatusServiceUnavailable)
}
