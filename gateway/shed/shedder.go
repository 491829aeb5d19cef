package shed

import (
	"math"
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/gateway/estimate"
	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// halfLife is the time after which a request counts half in all counts.
	halfLife = 1500 * time.Millisecond
	// newestWeight is the weight of the newest value in a smoothed one.
	newestWeight = 0.05
	// probeShare is the share of the sent requests that endpoints may reject while others
	// are refused. These rejections show how large the excess still is.
	probeShare = 0.1
	// rejectionTTL is how long after the last rejection refused requests keep counting
	// toward the excess. After that the excess decays.
	rejectionTTL = 3 * time.Second
	// minExcess is the excess below which nothing is refused.
	minExcess = 0.02
	// minOccupancy is the share of slots in use below which nothing is refused unless
	// requests wait, and lowOccupancy the share below which most slots count as free.
	minOccupancy = 0.6
	lowOccupancy = 0.3
	// minRequests is the number of recent requests below which nothing is refused, as
	// shares are not yet meaningful.
	minRequests = 8
)

// Shedder decides which requests for one service are refused. It is safe for concurrent
// use.
type Shedder struct {
	mu sync.Mutex
	// updatedAt is when the counts were last decayed.
	updatedAt clock.Boot
	// arrived counts the recent requests, rejected those that endpoints rejected or that
	// were refused, and arrivedByRank the requests of each rank. All decay with halfLife.
	arrived       float64
	rejected      float64
	rejectedAt    clock.Boot
	arrivedByRank [ranks]rankCounts
	// workByWorkspace is the recent work of each workspace, totalWork that of all.
	workByWorkspace map[string]float64
	totalWork       float64
	// timeouts are the longest recent times that callers of each route had left.
	timeouts timeouts
	// overload is the time in which requests were refused last.
	overload overload
	// answerTime is the smoothed time that endpoints take to send an answer after its
	// first token.
	answerTime time.Duration
	// objective is the smoothed objective of the requests. One value is used for all in the
	// measure of the excess, so that only the rank decides which requests are refused first.
	objective time.Duration
}

// New returns a Shedder that has seen no request.
func New() *Shedder {
	return &Shedder{workByWorkspace: map[string]float64{}, timeouts: timeouts{}}
}

// Decide counts an arriving request and decides whether it is refused.
func (s *Shedder) Decide(r Request, now clock.Boot) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.objective = smooth(s.objective, r.Objective)
	late := isLate(r, s.timeouts.waited(r))
	of := newRank(s.recordWork(r), r)
	counts := &s.arrivedByRank[of]
	s.arrived++
	counts.add(late)
	wait := s.expectedWait(r)
	startWait, fullWait := waitBounds(r.Occupancy)
	decision := Decision{Rank: int(of), OverShare: of.level() > 0, Excess: max(s.rejected/s.arrived, waitExcess(wait, startWait, fullWait))}
	idle := r.Occupancy < minOccupancy && wait < startWait
	if idle || s.arrived < minRequests || decision.Excess < minExcess {
		return decision
	}
	ofRank := s.refusalProbability(of, decision.Excess)
	probability := counts.refusalProbability(late, ofRank, of.maxRefusedShare(decision.Excess))
	draw := float64(r.Draw) / math.MaxUint64
	switch {
	case s.isHopeless(r):
		decision.Reason, probability = ReasonHopeless, 1
	case draw < probability:
		decision.Reason = reasonOf(of, draw < ofRank)
	default:
		return decision
	}
	decision.Refused = true
	decision.RetryAfter = s.overload.retryAfter(r, probability, now)
	s.rejected += s.refusalWeight(now)
	return decision
}

// RecordAnswerTime records how long an endpoint took to send an answer after its first
// token.
func (s *Shedder) RecordAnswerTime(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerTime = smooth(s.answerTime, took)
}

// smooth returns the exponentially weighted average of the previous values and the
// newest one. The first value is taken as it is.
func smooth(average, newest time.Duration) time.Duration {
	if average == 0 {
		return newest
	}
	return average + time.Duration(float64(newest-average)*newestWeight)
}

// refusalWeight returns how much a refused request counts toward the excess, compared
// with one that endpoints rejected.
func (s *Shedder) refusalWeight(now clock.Boot) float64 {
	if now.Sub(s.rejectedAt) > rejectionTTL {
		return 0
	}
	return 1 - probeShare*(1-s.rejected/s.arrived)
}

// RecordRejected records that endpoints rejected a request and that it is not served.
func (s *Shedder) RecordRejected(now clock.Boot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.rejected = min(s.rejected+1, s.arrived)
	s.rejectedAt = now
}

// Excess returns the share of recent requests that were rejected or refused.
func (s *Shedder) Excess(now clock.Boot) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	if s.arrived == 0 {
		return 0
	}
	return s.rejected / s.arrived
}

// minTrackedShare is the share of the total work below which a workspace is no longer
// tracked.
const minTrackedShare = 0.0005

// decay applies halfLife to the counts of earlier requests. The caller holds s.mu.
func (s *Shedder) decay(now clock.Boot) {
	elapsed := now.Sub(s.updatedAt)
	if elapsed <= 0 {
		return
	}
	s.updatedAt = now
	factor := estimate.Decay(elapsed, halfLife)
	s.arrived *= factor
	s.rejected *= factor
	s.totalWork *= factor
	for i := range s.arrivedByRank {
		s.arrivedByRank[i].decay(factor)
	}
	for workspace, work := range s.workByWorkspace {
		if work *= factor; work < minTrackedShare*s.totalWork {
			delete(s.workByWorkspace, workspace)
			continue
		}
		s.workByWorkspace[workspace] = work
	}
}
