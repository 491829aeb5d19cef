package balance

import "time"

const (
	// activeWindow is how long a workspace counts as active after a request.
	activeWindow = 10 * time.Second
	// pruneInterval is the minimum time between two removals of inactive
	// workspaces.
	pruneInterval = time.Second
)

// shares tracks the recently active workspaces and their weights. The
// LoadTracker's lock guards it.
type shares struct {
	active      map[string]activeWorkspace
	totalWeight float64
	prunedAt    time.Time
}

type activeWorkspace struct {
	weight   float64
	lastSeen time.Time
}

func newShares() *shares {
	return &shares{active: map[string]activeWorkspace{}}
}

// recordRequest marks the workspace as active, whether its request is admitted
// or not. A weight of 0 or less means 1.
func (s *shares) recordRequest(workspace string, weight float64, now time.Time) {
	if weight <= 0 {
		weight = 1
	}
	s.totalWeight += weight - s.active[workspace].weight
	s.active[workspace] = activeWorkspace{weight: weight, lastSeen: now}
	if now.Sub(s.prunedAt) >= pruneInterval {
		s.prune(now)
	}
}

func (s *shares) prune(now time.Time) {
	s.prunedAt = now
	s.totalWeight = 0
	for workspace, share := range s.active {
		if now.Sub(share.lastSeen) > activeWindow {
			delete(s.active, workspace)
			continue
		}
		s.totalWeight += share.weight
	}
}

// fairShare returns the workspace's fair share among the active ones, from 0
// to 1. The share of an inactive workspace is 0.
func (s *shares) fairShare(workspace string) float64 {
	share, ok := s.active[workspace]
	if !ok {
		return 0
	}
	return share.weight / s.totalWeight
}
