package soak

import (
	"fmt"
	"net/http"
	"time"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// The tolerances of the timing checks, as the platform's rules state them.
const (
	// maxUnreadyShare is the share of its undisturbed time in which a VM may be unready.
	maxUnreadyShare = 1.0 / 8
	// unservedSlack and maxUnservedShare bound the number of requests that undisturbed
	// VMs don't serve although no fault affects the workers.
	unservedSlack    = 5
	maxUnservedShare = 1.0 / 500
)

// checkConfigInTime checks that an undisturbed VM applies a published version within
// maxConfigDelay: it serves added paths and no longer serves removed ones.
func checkConfigInTime(h *callHistory) (violations []string) {
	for _, call := range h.calls {
		published, known := h.record.published[call.path]
		if !known || call.key != hosted.Key || call.boot < 0 {
			continue
		}
		removed, isRemoved := h.removed[call.path]
		cutoff := call.sent.Add(-maxConfigDelay)
		switch {
		case isRemoved && cutoff.After(removed) && call.status == http.StatusOK && h.undisturbed(&call, removed):
			violations = append(violations, fmt.Sprintf("%s %s was served at VM %d %v after it was removed", call.path, call.id, call.gateway, call.sent.Sub(removed)))
		case (!isRemoved || call.ended.Before(removed)) && cutoff.After(published) && call.status == http.StatusNotFound && h.undisturbed(&call, published):
			violations = append(violations, fmt.Sprintf("%s %s is unknown at VM %d %v after it was published", call.path, call.id, call.gateway, call.sent.Sub(published)))
		}
	}
	return violations
}

// undisturbed reports whether a call's VM was undisturbed until the call ended, from since or
// from the start of the call, whichever is earlier.
func (h *callHistory) undisturbed(call *callRecord, since time.Time) bool {
	if call.sent.Before(since) {
		since = call.sent
	}
	return isUndisturbed(h.record.vmFaults, call.gateway, since, call.ended)
}

// checkDrainInTime checks that a worker that was published as draining or deleted gets no
// request from an undisturbed VM after maxConfigDelay and drainTime.
func checkDrainInTime(h *callHistory) (violations []string) {
	calls := h.callsByID()
	for _, seen := range h.seen {
		call, known := calls[seen.ID]
		if !known || call.boot < 0 || !seen.intended() {
			continue
		}
		for _, period := range h.record.drainPeriods {
			within := period.to.IsZero() || seen.ReceivedAt.Before(period.to)
			if period.worker != seen.worker || !within || !call.sent.After(period.from.Add(maxConfigDelay+drainTime)) {
				continue
			}
			if h.undisturbed(call, period.from) && isUndisturbed(h.record.workerFaults, allVMs, call.sent, seen.ReceivedAt) {
				violations = append(violations, fmt.Sprintf("%s reached %s from VM %d %v after the store published that the worker leaves", seen.ID, seen.worker, call.gateway, call.sent.Sub(period.from)))
			}
		}
	}
	return violations
}

// checkReadyInTime checks that undisturbed VMs are ready, but for maxUnreadyShare.
func checkReadyInTime(h *callHistory) (violations []string) {
	samples, unready := map[int]int{}, map[int]int{}
	for _, sample := range h.record.readiness {
		if !isUndisturbed(h.record.vmFaults, sample.gateway, sample.at, sample.at.Add(readinessPeriod)) {
			continue
		}
		samples[sample.gateway]++
		if !sample.ready {
			unready[sample.gateway]++
		}
	}
	for gateway, count := range unready {
		if float64(count) > maxUnreadyShare*float64(samples[gateway]) {
			violations = append(violations, fmt.Sprintf("VM %d was undisturbed but not ready in %d of %d samples", gateway, count, samples[gateway]))
		}
	}
	return violations
}

// checkServedInTime checks that undisturbed VMs serve requests with a valid key while no fault
// affects the workers.
func checkServedInTime(h *callHistory) (violations []string) {
	asked := 0
	for _, call := range h.calls {
		if call.canceled || call.boot < 0 || call.key != hosted.Key || isVersionPath(call.path) {
			continue
		}
		if !h.undisturbed(&call, call.sent) || !isUndisturbed(h.record.workerFaults, allVMs, call.sent, call.ended) {
			continue
		}
		asked++
		if call.status != http.StatusOK || !call.complete {
			violations = append(violations, fmt.Sprintf("%s %s got %d, complete %v, at VM %d at %v", call.path, call.id, call.status, call.complete, call.gateway, call.sent))
		}
	}
	if float64(len(violations)) <= unservedSlack+maxUnservedShare*float64(asked) {
		return nil
	}
	return violations
}
