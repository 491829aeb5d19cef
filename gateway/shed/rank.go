package shed

import "math"

// A rank combines how far a workspace is over its share, the request's priority, and the priority of its route, which
// decides among requests of equal priority: where a workspace has a priority, all its requests have that. Any
// workspace within its share ranks before all that are over it.
const (
	priorities = 10
	// levelRanks is the number of ranks within one level.
	levelRanks = priorities * priorities
	// overShareLevels is the number of levels of workspaces that use more than their
	// share.
	overShareLevels = 3
	ranks           = levelRanks * (1 + overShareLevels)
	// overShareFactor is the multiple of an even share from which a workspace is over its
	// share. Each further level starts at twice the work of the one before.
	overShareFactor = 4.0
	// minOverShareWork is the share of the total work below which no workspace is over its
	// share. Among many workspaces a few requests in a row would exceed an even share.
	minOverShareWork = 0.1
	// minServedShare is the share of the requests of any rank that is served at least,
	// relative to the share of all requests, so that no rank starves. With 0.8, callers of a
	// less urgent kind that have more time to return were served more often than those of an
	// urgent kind. minServedShareOver applies to workspaces that use more than their share.
	minServedShare     = 0.6
	minServedShareOver = 0.3
)

// rank is the place of a request in the order in which requests are served. The lowest is served first.
type rank int

// newRank returns the rank of a request.
func newRank(level int, r Request) rank {
	return rank(level*levelRanks + clampPriority(r.Priority)*priorities + clampPriority(r.RoutePriority))
}

func clampPriority(priority int) int {
	return min(max(priority, 0), priorities-1)
}

// level returns how far the workspace is over its share, 0 if it is within it.
func (r rank) level() int { return int(r) / levelRanks }

// maxRefusedShare returns the share of the requests of the rank that may be refused.
func (r rank) maxRefusedShare(excess float64) float64 {
	served := minServedShare
	if r.level() > 0 {
		served = minServedShareOver
	}
	return 1 - served*(1-excess)
}

// refusalProbability returns the probability with which requests of a rank are refused on average.
// The least urgent ranks are refused first, each up to its maxRefusedShare, until the excess
// is covered, so a more urgent rank is never refused more often.
func (s *Shedder) refusalProbability(of rank, excess float64) float64 {
	remaining := excess * s.arrived
	for other := rank(ranks - 1); other > of && remaining > 0; other-- {
		if total := s.arrivedByRank[other].total(); total > 0 {
			remaining -= other.maxRefusedShare(excess) * total
		}
	}
	arrived := s.arrivedByRank[of].total()
	if remaining <= 0 || arrived <= 0 {
		return 0
	}
	return min(of.maxRefusedShare(excess), remaining/arrived)
}

// recordWork adds the work of a request to its workspace and returns the workspace's
// level over its share: 0 if it is within it, up to overShareLevels.
func (s *Shedder) recordWork(r Request) int {
	s.workByWorkspace[r.Workspace] += r.Cost
	s.totalWork += r.Cost
	evenShare := s.totalWork / float64(len(s.workByWorkspace))
	ratio := s.workByWorkspace[r.Workspace] / (evenShare * overShareFactor)
	if len(s.workByWorkspace) < 2 || ratio < 1 || s.workByWorkspace[r.Workspace] < minOverShareWork*s.totalWork {
		return 0
	}
	return min(overShareLevels, 1+int(math.Log2(ratio)))
}
