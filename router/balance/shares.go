package balance

import "time"

const (
	// activeWindow is how long a workspace counts as active after a request.
	activeWindow = 10 * time.Second
	// pruneEvery is how often inactive workspaces are dropped.
	pruneEvery = time.Second
)

// shares knows the workspaces that were active lately, with their weights. The
// ledger's lock guards it.
type shares struct {
	active map[string]activeShare
	sum    float64
	pruned time.Time
}

type activeShare struct {
	weight float64
	seen   time.Time
}

func newShares() *shares {
	return &shares{active: map[string]activeShare{}}
}

// saw counts a request of workspace, admitted or not. A weight of 0 or less
// means 1.
func (s *shares) saw(workspace string, weight float64, now time.Time) {
	if weight <= 0 {
		weight = 1
	}
	s.sum += weight - s.active[workspace].weight
	s.active[workspace] = activeShare{weight: weight, seen: now}
	if now.Sub(s.pruned) >= pruneEvery {
		s.prune(now)
	}
}

func (s *shares) prune(now time.Time) {
	s.pruned = now
	s.sum = 0
	for workspace, share := range s.active {
		if now.Sub(share.seen) > activeWindow {
			delete(s.active, workspace)
			continue
		}
		s.sum += share.weight
	}
}

// part returns the workspace's fair part among the active ones, from 0 to 1.
func (s *shares) part(workspace string) float64 {
	share, ok := s.active[workspace]
	if !ok {
		return 0
	}
	return share.weight / s.sum
}
