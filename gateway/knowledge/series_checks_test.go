package knowledge

import (
	"fmt"
	"slices"
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/platform"
)

// The bounds of the deployments.
const (
	stableTime     = 3 * time.Second
	configTime     = 2 * time.Second
	outerTime      = 5 * time.Second
	revokeTime     = 5 * time.Second
	drainTime      = 2 * time.Second
	catchUpTime    = 4 * time.Second
	keyLeaseMargin = 150 * time.Millisecond
	// rewriteWait is how long after the return of the store its endpoints may take to be back.
	rewriteWait = 2 * time.Second
	// maxReadsPerSecond is the number of calls that the store takes.
	maxReadsPerSecond = 2000
	// maxFetchesPerSecond bounds the calls between VMs for each VM: one in each peerCheckPeriod, and as
	// many to a leader with changes in quick succession.
	maxFetchesPerSecond = 20
)

// keepChecking checks all VMs until the series ends.
func (s *series) keepChecking(script) {
	used := map[*runningVM]map[traffic.Instance]usage{}
	for s.pause(tick) {
		s.mu.Lock()
		now := clock.Now()
		if s.impaired > 0 {
			s.troubledAt = now
		}
		s.recordListed(now)
		for _, vm := range s.fleet.vms {
			r := vm.running.Load()
			if r == nil || vm.cut.Load() || vm.lostCall.Swap(false) || s.store.faultOf(vm.number) != faultNone {
				vm.troubledAt = now
			}
			if r != nil {
				s.checkKeys(r, now)
				s.checkConfiguration(r, now)
				s.checkEndpoints(r, now)
				if used[r] == nil {
					used[r] = map[traffic.Instance]usage{}
				}
				s.checkReadmitted(r, used[r])
			}
		}
		s.mu.Unlock()
	}
}

// checkKeys finds a withdrawn key that is accepted. It holds for all VMs.
func (s *series) checkKeys(r *runningVM, now clock.Boot) {
	configuration := r.tracker.Snapshot().Configuration
	if configuration == nil || r.tracker.Age(now) >= revokeTime-keyLeaseMargin {
		return
	}
	for _, key := range s.operator.withdrawnBefore(now.Add(-revokeTime)) {
		if configuration.Workspaces[key] != nil {
			s.fleet.failed("VM %d, %v after its start, accepts %s of version %d, %v after the store was impaired", r.number,
				now.Sub(r.startedAt), key, configuration.Version, now.Sub(s.troubledAt))
		}
	}
}

// inTouch reports whether bounds hold for a VM.
func (s *series) inTouch(r *runningVM, now clock.Boot) bool {
	return now.Sub(r.troubledAt) >= stableTime && now.Sub(s.troubledAt) >= stableTime
}

// checkConfiguration finds a version that is not in force in time.
func (s *series) checkConfiguration(r *runningVM, now clock.Boot) {
	if !s.inTouch(r, now) {
		return
	}
	if want := s.operator.ackedBefore(now.Add(-configTime)); r.tracker.SyncRequest().ConfigurationVersion < want {
		s.fleet.failed("VM %d, %v after its start, has version %d, want %d, %v after the store was impaired", r.number, now.Sub(r.startedAt),
			r.tracker.SyncRequest().ConfigurationVersion, want, now.Sub(s.troubledAt))
	}
}

// checkEndpoints finds endpoints that get requests though they left, and live ones that get none.
func (s *series) checkEndpoints(r *runningVM, now clock.Boot) {
	if !s.inTouch(r, now) {
		return
	}
	ready := map[traffic.Instance]bool{}
	for _, endpoint := range r.tracker.Snapshot().Ready["s"] {
		instance := endpoint.Instance()
		ready[instance] = true
		settled := s.troubledAt.Add(rewriteWait + catchUpTime)
		if now > settled && now.Sub(s.listedAt[instance]) > drainTime {
			s.fleet.failed("VM %d, %v after its start, uses %v, %v after the store listed it, %v after the store was impaired, knows %s", r.number,
				now.Sub(r.startedAt), instance, now.Sub(s.listedAt[instance]), now.Sub(s.troubledAt), r.describe(instance.ID))
		}
	}
	for _, endpoint := range s.endpoints {
		instance := traffic.Instance{ID: endpoint.id, StartedMS: endpoint.startedMS}
		if runs := endpoint.state == stateDraining || endpoint.state == stateUnlisted; runs && ready[instance] && endpoint.leftAt != 0 && now.Sub(endpoint.leftAt) > drainTime {
			s.fleet.failed("VM %d, %v after its start, uses %v, %v after it left in state %d, %v after the store was impaired", r.number,
				now.Sub(r.startedAt), instance, now.Sub(endpoint.leftAt), endpoint.state, now.Sub(s.troubledAt))
		}
		if endpoint.state != stateReady || s.listedAt[instance] != now || ready[instance] {
			continue
		}
		settled := s.troubledAt.Add(catchUpTime)
		if !s.store.writtenSinceRestore(endpoint.id) || r.doubts(endpoint.id) {
			settled = s.troubledAt.Add(rewriteWait + entryLifetime + catchUpTime)
		}
		if now > settled && now.Sub(s.listedSince[instance]) > catchUpTime {
			s.fleet.failed("VM %d, %v after its start, lacks %v, listed %v ago, %v after the store was impaired, knows %s", r.number,
				now.Sub(r.startedAt), instance, now.Sub(s.listedSince[instance]), now.Sub(s.troubledAt), r.describe(endpoint.id))
		}
	}
}

// usage is how a VM uses an endpoint.
type usage int

const (
	usageNone usage = iota
	usageReady
	// usageDropped means that the endpoint left and that the VM has noticed that: it knows a change that is
	// no older than the leaving.
	usageDropped
)

// checkReadmitted finds an endpoint that left, and that a VM that had noticed it uses again.
func (s *series) checkReadmitted(r *runningVM, used map[traffic.Instance]usage) {
	newest, snapshot := r.tracker.Newest(), r.tracker.Snapshot()
	for _, endpoint := range s.endpoints {
		instance := traffic.Instance{ID: endpoint.id, StartedMS: endpoint.startedMS}
		left := endpoint.state == stateDraining || endpoint.state == stateUnlisted
		known := snapshot.Endpoints[endpoint.id]
		uses := known != nil && known.Instance() == instance && !known.Draining
		if uses && left && used[instance] == usageDropped {
			s.fleet.failed("VM %d, %v after its start, uses %v again, which left in state %d, knows %s", r.number, clock.Now().Sub(r.startedAt), instance, endpoint.state, r.describe(endpoint.id))
		}
		switch {
		case uses:
			used[instance] = usageReady
		case left && used[instance] == usageReady && !endpoint.leftPosition.After(newest):
			used[instance] = usageDropped
		case !left:
			used[instance] = usageNone
		}
	}
}

// keepCounting checks the numbers of calls of each second.
func (s *series) keepCounting(script) {
	reads, fetches := 0, int64(0)
	for s.pause(time.Second) {
		s.store.mu.Lock()
		newReads := s.store.calls - reads
		reads = s.store.calls
		s.store.mu.Unlock()
		newFetches := s.fleet.fetches.Load() - fetches
		fetches += newFetches
		if newReads > maxReadsPerSecond || newFetches > int64(maxFetchesPerSecond*len(s.fleet.vms)) {
			s.fleet.failed("%d calls to the store and %d between %d VMs in a second", newReads, newFetches, len(s.fleet.vms))
		}
	}
}

// doubts reports whether a VM doubts the entry of an endpoint.
func (r *runningVM) doubts(id string) bool {
	return slices.ContainsFunc(r.tracker.Unsettled(), func(entry UnsettledEntry) bool {
		return entry.Endpoint == id && entry.Reason == ReasonDoubted
	})
}

// describe tells what a VM knows of an endpoint.
func (r *runningVM) describe(id string) string {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	known, key := r.tracker.entries, platform.EndpointPrefix+id
	return fmt.Sprintf("entry at %d of era %d, deletion %+v, doubted %v, held %v, store lost %v, hold for %v, doubt for %v, up to %v", known.items[key].Revision,
		known.items[key].Era, known.tombstones[key], known.settling.doubted[key].Revision, known.settling.held[key].Revision, known.settling.storeLost,
		known.settling.holdUntil.Sub(clock.Now()), known.settling.doubtUntil.Sub(clock.Now()), r.tracker.position)
}
