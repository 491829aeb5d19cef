package shed

import "time"

const (
	// shedStartWait is the expected wait, as a share of the objective, from which requests
	// are refused, and shedFullWait that from which all but the minimum share are. Between
	// them the excess grows linearly, so the wait settles where the refused share equals
	// the excess load.
	shedStartWait = 0.15
	shedFullWait  = 0.6
	// lowOccupancyStartWait and lowOccupancyFullWait replace them while most slots are
	// free. The wait is then the prefill of a few requests, most of which still meet the
	// objective.
	lowOccupancyStartWait = 0.45
	lowOccupancyFullWait  = 0.75
)

// expectedWait returns the expected time to the first token as a share of the usual
// objective: the time to prefill the backlog and, if there are more requests than slots,
// the time until a slot is free.
func (s *Shedder) expectedWait(r Request) float64 {
	if s.objective <= 0 {
		return 0
	}
	return float64(r.Backlog+s.slotWait(r)) / float64(s.objective)
}

// slotWait returns the expected time until a slot is free, if there are more requests than slots.
func (s *Shedder) slotWait(r Request) time.Duration {
	return time.Duration(max(0, r.Occupancy-1) * float64(s.answerTime))
}

// waitBounds returns the expected waits at which shedding starts and at which all
// requests are in excess.
func waitBounds(occupancy float64) (startWait, fullWait float64) {
	if occupancy < lowOccupancy {
		return lowOccupancyStartWait, lowOccupancyFullWait
	}
	return shedStartWait, shedFullWait
}

// waitExcess returns the share of requests in excess at an expected wait. It rises
// linearly from 0 at startWait to 1 at fullWait.
func waitExcess(wait, startWait, fullWait float64) float64 {
	return min(1, max(0, (wait-startWait)/(fullWait-startWait)))
}
