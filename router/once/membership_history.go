package once

import (
	"slices"
	"sync"
	"time"
)

// maxSnapshots bounds the number of lists in a MembershipHistory.
const maxSnapshots = 64

// MembershipHistory records which routers the list of VMs has contained, and
// since when. It is safe for concurrent use.
type MembershipHistory struct {
	retention time.Duration

	mu        sync.Mutex
	snapshots []snapshot
}

// snapshot holds the routers of the list of VMs from a point in time on.
type snapshot struct {
	since   time.Time
	routers []string
}

// NewMembershipHistory returns a MembershipHistory that keeps each list for the
// retention time after the next one arrived.
func NewMembershipHistory(retention time.Duration) *MembershipHistory {
	return &MembershipHistory{retention: retention}
}

// Record records the routers of the current list at now.
func (h *MembershipHistory) Record(now time.Time, routers []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := len(h.snapshots) - 1
	if last >= 0 && slices.Equal(h.snapshots[last].routers, routers) {
		return
	}
	h.snapshots = append(h.snapshots, snapshot{since: now, routers: slices.Clone(routers)})
	h.prune(now)
}

// prune removes lists that are older than the retention time. Removing too many
// is safe: a router then seems to have joined its group later, so that it only
// refuses more keys.
func (h *MembershipHistory) prune(now time.Time) {
	oldest := now.Add(-h.retention)
	for len(h.snapshots) > 1 && (h.snapshots[1].since.Before(oldest) || len(h.snapshots) > maxSnapshots) {
		h.snapshots = h.snapshots[1:]
	}
}

// MemberSince returns since when the router has been in the key's group without
// interruption, and whether it is in the group now.
func (h *MembershipHistory) MemberSince(key, router string) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var joined time.Time
	for _, s := range slices.Backward(h.snapshots) {
		if !slices.Contains(Group(key, s.routers), router) {
			break
		}
		joined = s.since
	}
	return joined, !joined.IsZero()
}

// Group returns the key's group according to the newest list.
func (h *MembershipHistory) Group(key string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.snapshots) == 0 {
		return nil
	}
	return Group(key, h.snapshots[len(h.snapshots)-1].routers)
}
