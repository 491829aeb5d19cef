package member

import (
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/router/balance"
)

// BeginPeriod starts a heartbeat period with this router's current load per model.
func (t *Table) BeginPeriod(own map[string]balance.ModelLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.means.setOwn(own)
}

// Fill sets the sender's identity, loads and membership updates in a heartbeat that
// is about to be sent to the peer with address to. It takes the updates from the
// queue, so that each call counts as a transmission.
func (t *Table) Fill(beat *Heartbeat, to string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	beat.From, beat.Counter, beat.Leaving = t.self, t.counter, t.leaving
	if status, ok := t.peers[to]; ok && status.knowsIdentity() {
		beat.From = Identity{Address: t.self.Address}
		if status.ackedCounter == t.counter {
			beat.Counter = 0
		}
	}
	beat.ListVersion = t.list.Version()
	beat.Loads = t.means.own
	if len(t.peers) > MaxPeersProbedAtOnce {
		beat.Means = t.means.snapshot()
	}
	beat.Updates = t.updates.nextBatch(len(t.peers) + 1)
	if status, ok := t.peers[to]; ok && status.notifySuspicion {
		status.notifySuspicion = false
		beat.Updates = append(beat.Updates, Update{Address: to, Counter: status.counter, Claim: ClaimSuspect})
	}
}

// HeartbeatAcked records that the peer answered the heartbeat sent. From then on
// heartbeats to it leave out the identity and the counter that it has acknowledged.
func (t *Table) HeartbeatAcked(sent Heartbeat, to string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	status, ok := t.peers[to]
	if !ok {
		return
	}
	if sent.From.Incarnation != "" {
		status.ackedIncarnation = status.Heartbeat.From.Incarnation
	}
	status.ackedCounter = max(status.ackedCounter, sent.Counter)
}

// HandleHeartbeat processes a heartbeat that arrived at now from the peer itself.
func (t *Table) HandleHeartbeat(beat Heartbeat, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if beat.From.Address == t.self.Address {
		return
	}
	status := t.ensureStatus(beat.From.Address)
	if beat.From.Incarnation == "" {
		beat.From = status.Heartbeat.From
	}
	if status.Heartbeat.From.Incarnation != beat.From.Incarnation {
		klog.Infof("member: router %s is alive with incarnation %s.", beat.From.Address, beat.From.Incarnation)
	}
	t.clearSuspicion(status, now)
	// Others may still suspect the peer: keep telling it of the suspicion until it refutes that.
	status.notifySuspicion = status.notifySuspicion && beat.Counter <= status.counter
	status.counter = max(status.counter, beat.Counter)
	status.leaving = beat.Leaving
	status.Heartbeat, status.HeardAt = beat, now
	for _, update := range beat.Updates {
		if update.Address == beat.From.Address {
			t.updates.add(update) // The heartbeat itself already updated the sender's state.
			continue
		}
		t.applyUpdate(update, now)
	}
}

// AverageMeans completes a pairwise averaging step: own are the estimates that this
// router sent in an exchange, other those that the peer sent. It does nothing if
// either side sent none.
func (t *Table) AverageMeans(own, other map[string]Mean) {
	if own == nil || other == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.means.average(own, other)
}

// ApplyUpdates processes updates about other routers that arrived at now and reports
// whether any of them was new.
func (t *Table) ApplyUpdates(updates []Update, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	fresh := false
	for _, update := range updates {
		fresh = t.applyUpdate(update, now) || fresh
	}
	return fresh
}

// applyUpdate processes one update and reports whether it was new. The caller holds
// t.mu.
func (t *Table) applyUpdate(update Update, now time.Time) bool {
	if update.Address == t.self.Address {
		return t.refute(update)
	}
	status, ok := t.peers[update.Address]
	if !ok || update.Counter < status.counter {
		return false
	}
	newer := update.Counter > status.counter
	switch update.Claim {
	case ClaimAlive:
		if !newer {
			return false
		}
		t.clearSuspicion(status, now)
		status.notifySuspicion, status.leaving = false, false
	case ClaimLeaving:
		if !newer && status.leaving {
			return false
		}
		status.leaving = true
		klog.Infof("member: router %s is leaving.", update.Address)
	case ClaimSuspect:
		if !status.suspectedSince.IsZero() {
			return false
		}
		if !status.HeardAt.IsZero() && now.Sub(status.HeardAt) < t.suspectTimeout {
			status.counter = max(status.counter, update.Counter)
			status.notifySuspicion = true
			return false
		}
		t.suspectPeer(status, now)
	}
	status.counter = update.Counter
	t.updates.add(update)
	return true
}

// refute answers a suspicion of this router with a higher counter and reports
// whether it did so. The answer is needed even if the suspicion carries an old
// counter: it then comes from a router that does not know this process yet.
func (t *Table) refute(update Update) bool {
	if update.Claim != ClaimSuspect {
		return false
	}
	t.counter = max(t.counter, update.Counter+1)
	claim := ClaimAlive
	if t.leaving {
		claim = ClaimLeaving
	}
	t.updates.add(Update{Address: t.self.Address, Counter: t.counter, Claim: claim})
	klog.Infof("member: this router refutes a suspicion with counter %d.", t.counter)
	return true
}

// clearSuspicion ends the suspicion of a peer. If the peer counted as unreachable,
// its return is recorded for flap damping.
func (t *Table) clearSuspicion(status *Status, now time.Time) {
	if status.suspectedSince.IsZero() {
		return
	}
	if t.suspicionExpired(status, now) {
		status.damping.recordReturn(now)
		klog.Infof("member: router %s is reachable again, return %d, held down until %s.", status.Heartbeat.From.Address,
			status.damping.returns, status.damping.heldUntil.Format(time.RFC3339))
	}
	status.suspectedSince = time.Time{}
}

// suspectPeer starts the suspicion of a peer. The next heartbeat to the peer reports it.
func (t *Table) suspectPeer(status *Status, now time.Time) {
	status.suspectedSince = now
	status.notifySuspicion = true
	klog.Infof("member: router %s is suspected.", status.Heartbeat.From.Address)
}

// Suspected reports whether the peer is under suspicion.
func (t *Table) Suspected(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	status, ok := t.peers[address]
	return ok && !status.suspectedSince.IsZero()
}

// ProbeFailed records that the peer answered neither this router's probe nor the
// indirect probes, and starts its suspicion.
func (t *Table) ProbeFailed(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	status, ok := t.peers[address]
	if !ok || !status.suspectedSince.IsZero() {
		return
	}
	t.suspectPeer(status, now)
	t.updates.add(Update{Address: address, Counter: status.counter, Claim: ClaimSuspect})
}

// Leave marks this router as leaving and returns the update that announces it to its peers.
func (t *Table) Leave() Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
	t.counter++
	update := Update{Address: t.self.Address, Counter: t.counter, Claim: ClaimLeaving}
	t.updates.add(update)
	return update
}

// RestartSuspicions restarts the timeouts of all suspicions that have not expired.
// It is called after this process was suspended: peers could not refute while it
// did not run.
func (t *Table) RestartSuspicions(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, status := range t.peers {
		if !status.suspectedSince.IsZero() && !t.suspicionExpired(status, now) {
			status.suspectedSince = now
		}
	}
}
