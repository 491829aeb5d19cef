package reuse

import (
	"time"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// maxReported bounds the resets in one report.
	maxReported = 16
	// transitTime is added to the age of a reset with each report, which may be on its way for so long:
	// VMs that relay a reset to each other must not keep it alive.
	transitTime = 50 * time.Millisecond
)

// FillReport adds the known resets to a report.
func (r *Resets) FillReport(report *gossip.Report, now clock.Boot) {
	if r.Empty() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	for key, known := range r.resets {
		if len(report.IdleResets) == maxReported {
			return // The order of a map is random, so the others come next time.
		}
		report.IdleResets = append(report.IdleResets, gossip.IdleReset{
			Endpoint: key.ID, StartedMS: key.StartedMS, Service: known.service,
			IdleMS: known.idle.Milliseconds(), AgeMS: now.Sub(known.at).Milliseconds(),
		})
	}
}

// ApplyReport records the resets that another VM reports.
func (r *Resets) ApplyReport(report gossip.Report, now clock.Boot) {
	if len(report.IdleResets) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, told := range report.IdleResets {
		key := traffic.Instance{ID: told.Endpoint, StartedMS: told.StartedMS}
		r.apply(key, told.Service, time.Duration(told.IdleMS)*time.Millisecond, now.Add(-told.Age()-transitTime), now)
	}
}
