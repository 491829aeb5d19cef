package shed

import (
	"math"
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// halfLife is the time after which a request counts half.
	halfLife = 1500 * time.Millisecond
	// waitFrom is the expected wait from which requests are refused, and waitMost that
	// from which all but the least part are. Between them the excess grows evenly, so
	// the wait settles where as much is refused as is too much.
	waitFrom = 0.15
	waitMost = 0.6
	// roomyWaitFrom and roomyWaitMost are the same while most slots are free: what waits
	// there are prompts to be read for a few requests, and most still begin in time.
	roomyWaitFrom = 0.45
	roomyWaitMost = 0.75
	// newestWeight is the weight of the newest value in a smoothed one.
	newestWeight = 0.05
	// probe is the part of the sent requests that may be turned away while others are
	// refused: it tells how much is still too much.
	probe = 0.1
	// lossAge is how long after the last request that was turned away the excess is
	// taken as known. Then it fades.
	lossAge = 3 * time.Second
	// leastExcess is the excess below which nothing is refused.
	leastExcess = 0.02
	// leastOccupancy is the part of the slots that must be taken, unless requests wait, and
	// roomyOccupancy the part up to which most are free.
	leastOccupancy = 0.6
	roomyOccupancy = 0.3
	// leastServed is the part of the requests of any rank that is served, against that
	// of all requests, and leastServedOver the same for workspaces that use more than
	// their share: nobody starves.
	leastServed     = 0.8
	leastServedOver = 0.3
	// leastCount is the number of recent requests from which shares are known.
	leastCount = 8
)

// The ranks.
const (
	priorities = 10
	// overLevels is the number of levels of workspaces that use more than their share.
	overLevels = 3
	ranks      = priorities * (1 + overLevels)
	// overFactor is the use, against an even share, from which a workspace is over it;
	// each further level is at twice the use of the one before.
	overFactor = 4.0
	// leastOver is the part of the work of all below which no workspace is over its
	// share: among many, a few requests in a row are no flood.
	leastOver = 0.1
)

// Shedder decides for one service. It is safe for concurrent use.
type Shedder struct {
	mu sync.Mutex
	at clock.Boot
	// arrived counts the recent requests, lost those that endpoints turned away or that
	// were refused, byRank what arrived of each rank.
	arrived float64
	lost    float64
	lostAt  clock.Boot
	byRank  [ranks]float64
	// use is the recent work of each workspace, total that of all.
	use   map[string]float64
	total float64
	// ran is the smoothed time for which endpoints give an answer after its begin.
	ran time.Duration
	// objective is the smoothed objective of the requests. It is the same for all, so
	// that only the rank tells who goes first.
	objective time.Duration
}

// New returns a Shedder that has seen no request.
func New() *Shedder {
	return &Shedder{use: map[string]float64{}}
}

// Decide counts a request that arrived and tells whether it is refused.
func (s *Shedder) Decide(r Request, now clock.Boot) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fade(now)
	level := s.count(r)
	rank := level*priorities + min(max(r.Priority, 0), priorities-1)
	s.arrived++
	s.byRank[rank]++
	s.objective = smooth(s.objective, r.Objective)
	wait := s.wait(r)
	from, most := waitBounds(r.Occupancy)
	decision := Decision{Rank: rank, OverShare: level > 0, Excess: max(s.lost/s.arrived, waitExcess(wait, from, most))}
	idle := r.Occupancy < leastOccupancy && wait < from
	if idle || s.arrived < leastCount || decision.Excess < leastExcess {
		return decision
	}
	draw := float64(r.Draw) / math.MaxUint64
	if draw < s.refusal(rank, decision.Excess) {
		decision.Refused = true
		s.lost += s.weight(now)
	}
	return decision
}

// wait returns the expected time until an endpoint begins with the answer, as a part of
// the usual objective: it reads what came before, and has more requests than slots.
func (s *Shedder) wait(r Request) float64 {
	if s.objective <= 0 {
		return 0
	}
	waiting := r.Backlog + time.Duration(max(0, r.Occupancy-1)*float64(s.ran))
	return float64(waiting) / float64(s.objective)
}

// Ran notes how long an endpoint gave an answer after its begin.
func (s *Shedder) RecordAnswerTime(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran = smooth(s.ran, took)
}

// smooth takes a new value into a smoothed one, which begins with the first.
func smooth(known, next time.Duration) time.Duration {
	if known == 0 {
		return next
	}
	return known + time.Duration(float64(next-known)*newestWeight)
}

// waitBounds returns from which wait on requests are too many, and from which all are.
func waitBounds(occupancy float64) (from, most float64) {
	if occupancy < roomyOccupancy {
		return roomyWaitFrom, roomyWaitMost
	}
	return waitFrom, waitMost
}

// waitExcess returns what part is too much if requests wait so long.
func waitExcess(wait, from, most float64) float64 {
	return min(1, max(0, (wait-from)/(most-from)))
}

// weight is what a refused request counts against one that endpoints turned away.
func (s *Shedder) weight(now clock.Boot) float64 {
	if now.Sub(s.lostAt) > lossAge {
		return 0
	}
	return 1 - probe*(1-s.lost/s.arrived)
}

// Lost notes that endpoints turned a request away and that it is not served.
func (s *Shedder) RecordRejected(now clock.Boot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fade(now)
	s.lost = min(s.lost+1, s.arrived)
	s.lostAt = now
}

// Excess returns the part of the requests that is too much.
func (s *Shedder) Excess(now clock.Boot) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fade(now)
	if s.arrived == 0 {
		return 0
	}
	return s.lost / s.arrived
}

// refusal returns the probability with which requests of a rank are refused: the last
// ranks go first, each up to what may be refused of it, until the excess is reached.
func (s *Shedder) refusal(rank int, excess float64) float64 {
	left := excess * s.arrived
	for other := ranks - 1; other > rank && left > 0; other-- {
		left -= most(other, excess) * s.byRank[other]
	}
	if left <= 0 || s.byRank[rank] <= 0 {
		return 0
	}
	return min(most(rank, excess), left/s.byRank[rank])
}

// most returns the part of the requests of a rank that may be refused.
func most(rank int, excess float64) float64 {
	least := leastServed
	if rank >= priorities {
		least = leastServedOver
	}
	return 1 - least*(1-excess)
}

// count adds a request's work to its workspace's and returns how far that is over an
// even share: 0 if it is not.
func (s *Shedder) count(r Request) int {
	s.use[r.Workspace] += r.Cost
	s.total += r.Cost
	even := s.total / float64(len(s.use))
	over := s.use[r.Workspace] / (even * overFactor)
	if len(s.use) < 2 || over < 1 || s.use[r.Workspace] < leastOver*s.total {
		return 0
	}
	return min(overLevels, 1+int(math.Log2(over)))
}

// forget is the part of the work of all below which a workspace counts as gone.
const forget = 0.0005

// fade lets the counts of earlier requests decay.
func (s *Shedder) fade(now clock.Boot) {
	past := now.Sub(s.at)
	if past <= 0 {
		return
	}
	s.at = now
	left := math.Exp2(-float64(past) / float64(halfLife))
	s.arrived *= left
	s.lost *= left
	s.total *= left
	for rank := range s.byRank {
		s.byRank[rank] *= left
	}
	for workspace, use := range s.use {
		if use *= left; use < forget*s.total {
			delete(s.use, workspace)
			continue
		}
		s.use[workspace] = use
	}
}
