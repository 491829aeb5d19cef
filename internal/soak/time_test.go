package soak

import (
	"fmt"
	"net/http"
	"time"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// The parts that the checks of time allow, as the platform's rules state them.
const (
	// unreadyPart is the part of the time in touch for which a VM may say that it is
	// not ready.
	unreadyPart = 1.0 / 8
	// unservedSlack and unservedPart bound the requests that VMs in touch don't serve
	// although workers are sound.
	unservedSlack = 5
	unservedPart  = 1.0 / 500
)

// checkConfigInTime: a VM in touch handles a request as a version allows that the store
// had taken in, at the latest, the configuration time before.
func checkConfigInTime(h *soakHistory) (bad []string) {
	for _, call := range h.calls {
		published, known := h.record.published[call.path]
		if !known || call.key != hosted.Key || call.boot < 0 {
			continue
		}
		removed, gone := h.removed[call.path]
		late := call.sent.Add(-soakConfig)
		switch {
		case gone && late.After(removed) && call.status == http.StatusOK && h.touched(&call, removed):
			bad = append(bad, fmt.Sprintf("%s %s was served at VM %d %v after it was removed", call.path, call.id, call.gateway, call.sent.Sub(removed)))
		case (!gone || call.ended.Before(removed)) && late.After(published) && call.status == http.StatusNotFound && h.touched(&call, published):
			bad = append(bad, fmt.Sprintf("%s %s is unknown at VM %d %v after it was published", call.path, call.id, call.gateway, call.sent.Sub(published)))
		}
	}
	return bad
}

// touched reports whether a call's VM was in touch from a time, or the call's beginning if
// that is earlier, until the call ended.
func (h *soakHistory) touched(call *soakCall, since time.Time) bool {
	if call.sent.Before(since) {
		since = call.sent
	}
	return inTouch(h.record.spells, call.gateway, since, call.ended)
}

// checkDrainInTime: a worker that drains, or is gone, gets no request from a VM in touch
// later than the drain time after the VM must know of it.
func checkDrainInTime(h *soakHistory) (bad []string) {
	calls := h.callsByID()
	for _, seen := range h.seen {
		call, known := calls[seen.ID]
		if !known || call.boot < 0 || !seen.meant() {
			continue
		}
		for _, span := range h.record.drained {
			within := span.to.IsZero() || seen.ReceivedAt.Before(span.to)
			if span.worker != seen.worker || !within || !call.sent.After(span.from.Add(soakConfig+soakDrain)) {
				continue
			}
			if h.touched(call, span.from) && inTouch(h.record.workerSpells, everyVM, call.sent, seen.ReceivedAt) {
				bad = append(bad, fmt.Sprintf("%s reached %s from VM %d %v after the store told that it leaves", seen.ID, seen.worker, call.gateway, call.sent.Sub(span.from)))
			}
		}
	}
	return bad
}

// checkReadyInTime: VMs in touch say that they are ready.
func checkReadyInTime(h *soakHistory) (bad []string) {
	looks, unready := map[int]int{}, map[int]int{}
	for _, look := range h.record.readiness {
		if !inTouch(h.record.spells, look.gateway, look.at, look.at.Add(readyPeriod)) {
			continue
		}
		looks[look.gateway]++
		if !look.ready {
			unready[look.gateway]++
		}
	}
	for gateway, count := range unready {
		if float64(count) > unreadyPart*float64(looks[gateway]) {
			bad = append(bad, fmt.Sprintf("VM %d was in touch and not ready at %d of %d looks", gateway, count, looks[gateway]))
		}
	}
	return bad
}

// checkServedInTime: VMs in touch serve what is sound while workers are.
func checkServedInTime(h *soakHistory) (bad []string) {
	asked := 0
	for _, call := range h.calls {
		if call.left || call.boot < 0 || call.key != hosted.Key || isVersion(call.path) {
			continue
		}
		if !h.touched(&call, call.sent) || !inTouch(h.record.workerSpells, everyVM, call.sent, call.ended) {
			continue
		}
		asked++
		if call.status != http.StatusOK || !call.whole {
			bad = append(bad, fmt.Sprintf("%s %s got %d, whole %v, at VM %d at %v", call.path, call.id, call.status, call.whole, call.gateway, call.sent))
		}
	}
	if float64(len(bad)) <= unservedSlack+unservedPart*float64(asked) {
		return nil
	}
	return bad
}
