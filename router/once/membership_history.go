package once

import (
	"slices"
	"sync"
	"time"
)

// maxSnapshots bounds the lists that a Views keeps.
const maxSnapshots = 64

// Views remembers which routers the list of VMs had and since when. It is safe
// for concurrent use.
type MembershipHistory struct {
	keep time.Duration

	mu        sync.Mutex
	snapshots []snapshot
}

// snapshot is the routers of a list from a point of time on.
type snapshot struct {
	since   time.Time
	routers []string
}

// NewViews returns a Views that keeps lists for the given time after the next
// one came.
func NewMembershipHistory(keep time.Duration) *MembershipHistory {
	return &MembershipHistory{keep: keep}
}

// Note takes in the routers of the list at now.
func (v *MembershipHistory) Record(now time.Time, routers []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	last := len(v.snapshots) - 1
	if last >= 0 && slices.Equal(v.snapshots[last].routers, routers) {
		return
	}
	v.snapshots = append(v.snapshots, snapshot{since: now, routers: slices.Clone(routers)})
	v.prune(now)
}

// prune drops lists that are too old to matter. Dropping one too many makes a
// router seem to have joined later, which only refuses more.
func (v *MembershipHistory) prune(now time.Time) {
	oldest := now.Add(-v.keep)
	for len(v.snapshots) > 1 && (v.snapshots[1].since.Before(oldest) || len(v.snapshots) > maxSnapshots) {
		v.snapshots = v.snapshots[1:]
	}
}

// Joined returns since when the router has been in the key's group without a
// break, and whether it is in it now.
func (v *MembershipHistory) MemberSince(key, router string) (time.Time, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var joined time.Time
	for _, s := range slices.Backward(v.snapshots) {
		if !slices.Contains(Group(key, s.routers), router) {
			break
		}
		joined = s.since
	}
	return joined, !joined.IsZero()
}

// Group returns the key's group by the newest list.
func (v *MembershipHistory) Group(key string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.snapshots) == 0 {
		return nil
	}
	return Group(key, v.snapshots[len(v.snapshots)-1].routers)
}
