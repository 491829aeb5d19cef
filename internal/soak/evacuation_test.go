package soak

import (
	"fmt"
	"time"
)

const (
	// workerDomains is the number of failure domains of workers. VMs are in another one, so that they prefer none.
	workerDomains = 3
	// maxEvacuationDelay is the bound in the settings that package hosted writes.
	maxEvacuationDelay = 2500 * time.Millisecond
	// maxEvacuationStart bounds the random time from the start of a calm phase until a failure domain is evacuated.
	maxEvacuationStart = time.Second
	// silenceSlack is for requests that were sent within the bound and wait at a link that falls silent.
	silenceSlack = maxSilence
)

// evacuationPeriod is a period in which the failure domain of workers was evacuated.
type evacuationPeriod struct {
	workers map[string]bool
	// from is when the store had acknowledged the order, to when it was taken back.
	from, to time.Time
}

// evacuateSometimes evacuates the failure domain of a slot at a random time, in half of the cases, until the returned
// function is called. The slot's worker drains, so each service keeps as many workers as without the evacuation.
func (s *soak) evacuateSometimes(slot *workerSlot) (end func()) {
	if s.random.IntN(2) == 0 {
		return func() {}
	}
	time.Sleep(time.Duration(s.random.Int64N(int64(maxEvacuationStart))))
	s.logFault("%s is evacuated", slot.domain)
	s.store.Evacuate(slot.domain)
	period := evacuationPeriod{workers: map[string]bool{}, from: time.Now()}
	for _, one := range s.slots {
		if one.domain == slot.domain {
			period.workers[one.worker.Load().ID] = true
		}
	}
	return func() {
		s.logFault("%s is no longer evacuated", slot.domain)
		period.to = time.Now()
		s.store.EndEvacuation(slot.domain)
		s.history.evacuations = append(s.history.evacuations, period)
	}
}

// checkEvacuatedInTime checks that workers in an evacuated failure domain get no request from an undisturbed VM after
// maxEvacuationDelay.
func checkEvacuatedInTime(h *callHistory) (violations []string) {
	calls := h.callsByID()
	for _, seen := range h.seen {
		call, known := calls[seen.ID]
		if !known || !seen.intended() {
			continue
		}
		for _, period := range h.evacuations {
			late := seen.ReceivedAt.Sub(period.from)
			if !period.workers[seen.worker] || late <= maxEvacuationDelay || !seen.ReceivedAt.Before(period.to) {
				continue
			}
			if call.sent.Before(period.from.Add(maxEvacuationDelay)) && late <= maxEvacuationDelay+silenceSlack {
				continue // It may have waited at a silent link.
			}
			if isUndisturbed(h.record.vmFaults, call.gateway, period.from, seen.ReceivedAt) {
				violations = append(violations, fmt.Sprintf("%s reached %s from VM %d %v after its failure domain was evacuated", seen.ID, seen.worker, call.gateway, late))
			}
		}
	}
	return violations
}
