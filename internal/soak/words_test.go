package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// soakWord is what one process of a VM has heard of a worker.
type soakWord struct {
	gateway int
	boot    int
	worker  string
}

// meant reports whether a request was for the worker that saw it: one for the instance that
// was at the address before gets 421 and does not count.
func (s *soakSeen) meant() bool {
	expected := s.Header.Get("Cardamompoint-Expect-Instance")
	return expected == "" || expected == s.worker
}

// callsByID returns the calls by the id of their request.
func (h *soakHistory) callsByID() map[string]*soakCall {
	calls := map[string]*soakCall{}
	for i := range h.calls {
		calls[h.calls[i].id] = &h.calls[i]
	}
	return calls
}

// checkLeaving: a worker that has said in an answer that it leaves gets no request that a
// caller sent later than the drain time after it to the VM which passed the answer on.
func checkLeaving(h *soakHistory) (bad []string) {
	told := map[soakWord]time.Time{}
	for _, call := range h.calls {
		word := soakWord{call.gateway, call.boot, call.leaving}
		if first, known := told[word]; call.leaving != "" && (!known || call.ended.Before(first)) {
			told[word] = call.ended
		}
	}
	calls := h.callsByID()
	for _, seen := range h.seen {
		call, known := calls[seen.ID]
		if !known || !seen.meant() {
			continue
		}
		at, known := told[soakWord{call.gateway, call.boot, seen.worker}]
		if known && call.sent.After(at.Add(soakDrain)) {
			bad = append(bad, fmt.Sprintf("%s reached %s %v after VM %d was told that it leaves", seen.ID, seen.worker, call.sent.Sub(at), call.gateway))
		}
	}
	return bad
}

// checkRest: a worker that has asked a VM for rest gets hardly any request from it until
// the rest is over.
func checkRest(h *soakHistory) (bad []string) {
	calls := h.callsByID()
	type rest struct{ noticed, until time.Time }
	rests := map[soakWord]rest{}
	for _, seen := range h.seen {
		call, known := calls[seen.ID]
		if known && seen.Behavior == hosted.RefuseWithRetryAfter && heardRest(call) {
			rests[soakWord{call.gateway, call.boot, seen.worker}] = rest{call.ended.Add(soakRestNoticed), seen.ReceivedAt.Add(soakRest)}
		}
	}
	late := map[soakWord]int{}
	for _, seen := range h.seen {
		call, known := calls[seen.ID]
		if !known {
			continue
		}
		word := soakWord{call.gateway, call.boot, seen.worker}
		if asked, known := rests[word]; known && call.sent.After(asked.noticed) && seen.ReceivedAt.Before(asked.until) {
			late[word]++
		}
	}
	for word, count := range late {
		if count > soakRestSlack {
			bad = append(bad, fmt.Sprintf("%d requests reached %s from VM %d while it rested", count, word.worker, word.gateway))
		}
	}
	return bad
}

// heardRest reports whether the VM has read the word of a worker that rests: a request that
// may not be repeated is only then sent elsewhere or refused as not run.
func heardRest(call *soakCall) bool {
	return strings.HasPrefix(call.path, "/deposit/") && (call.status == http.StatusOK || call.status == http.StatusServiceUnavailable)
}
