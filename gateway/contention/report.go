package contention

import (
	"math"
	"time"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// maxReportedAge is the age up to which statements are reported: older ones say little when they arrive.
	maxReportedAge = 300 * time.Millisecond
	// transitTime is added to the age of a statement with each report, which may be on its way for so long: VMs
	// that relay a statement to each other must not renew it.
	transitTime = 20 * time.Millisecond
)

// FillReport adds the statements of contended hosts, and of those that have just returned to normal, to a report.
func (t *Tracker) FillReport(report *gossip.Report, now clock.Boot) {
	t.expire(now)
	for key, known := range t.instances {
		if len(report.Contentions) == gossip.MaxContentions {
			return // The order of a map is random, so the others come next time.
		}
		age := now.Sub(known.at)
		returned := known.returnedAt != 0 && now.Sub(known.returnedAt) <= maxReportedAge
		if age > maxReportedAge || !returned && !t.deviates(known) {
			continue
		}
		report.Contentions = append(report.Contentions, gossip.EndpointContention{
			Endpoint: key.ID, StartedMS: key.StartedMS, Percent: int(math.Round(100 * known.factor)), AgeMS: age.Milliseconds(),
		})
	}
}

// Relay records a statement that another VM has reported. service is "" if the endpoint is not known.
func (t *Tracker) Relay(reported *gossip.EndpointContention, service string, now clock.Boot) {
	statement := newStatement(float64(reported.Percent)/100, now.Add(-reported.Age()-transitTime))
	if now.Sub(statement.at) <= lifetime {
		t.apply(reported.Instance(), service, statement, now)
	}
}
