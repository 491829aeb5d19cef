package knowledge

import (
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// Availability is a span in which the store was available to some VM: from the end of a read to the end
// of a later one, with no failed call between them. The zero Availability is unknown.
type Availability struct {
	Since, Until clock.Boot
}

// add adds a span that a VM tells of. Spans that overlap are one; of others the later one counts.
func (a *Availability) add(told Availability) {
	switch {
	case told.Since == 0 || told.Until < told.Since || told.Until < a.Since:
	case told.Since > a.Until:
		*a = told
	default:
		a.Since, a.Until = min(a.Since, told.Since), max(a.Until, told.Until)
	}
}

// setAvailable sets the fields of a response that tell of a span. Rounding makes the span shorter.
func (s *SyncResponse) setAvailable(known Availability, now clock.Boot) {
	if known.Since == 0 {
		return
	}
	s.AvailableMS = now.Sub(known.Since).Milliseconds()
	s.AvailableUntilMS = now.Sub(known.Until).Milliseconds() + 1
}

// available returns the span that a response tells of. The responder sent it between requestedAt and
// receivedAt, so the span is never longer than the one that the responder knows.
func (s *SyncResponse) available(requestedAt, receivedAt clock.Boot) Availability {
	if s.AvailableMS <= 0 {
		return Availability{}
	}
	return Availability{
		Since: receivedAt.Add(-time.Duration(s.AvailableMS) * time.Millisecond),
		Until: requestedAt.Add(time.Duration(s.WaitedMS-s.AvailableUntilMS) * time.Millisecond),
	}
}
