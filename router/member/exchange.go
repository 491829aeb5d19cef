package member

import (
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/router/balance"
)

// BeginPeriod takes in the own load.
func (t *Table) BeginPeriod(own map[string]balance.ModelLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.means.setOwn(own)
}

// Fill adds to a heartbeat to the given peer what the table knows.
func (t *Table) Fill(beat *Heartbeat, to string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	beat.From, beat.Counter, beat.Leaving = t.self, t.counter, t.leaving
	if status, ok := t.peers[to]; ok && status.knowsUs() {
		beat.From = Identity{Address: t.self.Address}
		if status.told == t.counter {
			beat.Counter = 0
		}
	}
	beat.ListVersion = t.list.Version()
	beat.Loads = t.means.own
	if len(t.peers) > MaxPeersProbedAtOnce {
		beat.Means = t.means.snapshot()
	}
	beat.Updates = t.updates.take(len(t.peers) + 1)
	if status, ok := t.peers[to]; ok && status.owed {
		status.owed = false
		beat.Updates = append(beat.Updates, Update{Address: to, Counter: status.counter, Claim: ClaimSuspect})
	}
}

// Introduced records that the peer answered a heartbeat, so that it knows what
// that held of this router.
func (t *Table) HeartbeatAcked(sent Heartbeat, to string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	status, ok := t.peers[to]
	if !ok {
		return
	}
	if sent.From.Incarnation != "" {
		status.introduced = status.Heartbeat.From.Incarnation
	}
	status.told = max(status.told, sent.Counter)
}

// Heard takes in a heartbeat that came at now from the peer itself.
func (t *Table) HandleHeartbeat(beat Heartbeat, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if beat.From.Address == t.self.Address {
		return
	}
	status := t.status(beat.From.Address)
	if beat.From.Incarnation == "" {
		beat.From = status.Heartbeat.From
	}
	if status.Heartbeat.From.Incarnation != beat.From.Incarnation {
		klog.Infof("member: router %s is alive with incarnation %s.", beat.From.Address, beat.From.Incarnation)
	}
	t.clear(status, now)
	// Others may still hold the suspicion: the peer is told, so that it refutes it.
	status.owed = status.owed && beat.Counter <= status.counter
	status.counter = max(status.counter, beat.Counter)
	status.leaving = beat.Leaving
	status.Heartbeat, status.HeardAt = beat, now
	for _, update := range beat.Updates {
		if update.Address == beat.From.Address {
			t.updates.add(update) // The heartbeat itself told the rest.
			continue
		}
		t.learn(update, now)
	}
}

// Average takes in the other side's estimates of an exchange for which own was
// sent.
func (t *Table) AverageMeans(own, other map[string]Mean) {
	if own == nil || other == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.means.average(own, other)
}

// Learn takes in news of other routers that came at now and reports whether
// any was new.
func (t *Table) ApplyUpdates(updates []Update, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	fresh := false
	for _, update := range updates {
		fresh = t.learn(update, now) || fresh
	}
	return fresh
}

func (t *Table) learn(update Update, now time.Time) bool {
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
		t.clear(status, now)
		status.owed, status.leaving = false, false
	case ClaimLeaving:
		if !newer && status.leaving {
			return false
		}
		status.leaving = true
		klog.Infof("member: router %s is leaving.", update.Address)
	case ClaimSuspect:
		if !status.suspected.IsZero() {
			return false
		}
		if !status.HeardAt.IsZero() && now.Sub(status.HeardAt) < t.suspect {
			status.counter = max(status.counter, update.Counter)
			status.owed = true
			return false
		}
		t.suspectPeer(status, now)
	}
	status.counter = update.Counter
	t.updates.add(update)
	return true
}

// refute answers a suspicion of this router with a higher counter. One with a
// lower counter comes from a router that has not heard of this process.
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
	klog.Infof("member: a suspicion of this router is refuted with counter %d.", t.counter)
	return true
}

// clear ends a suspicion.
func (t *Table) clear(status *Status, now time.Time) {
	if status.suspected.IsZero() {
		return
	}
	if t.silent(status, now) {
		status.damping.returned(now)
		klog.Infof("member: router %s is back, return %d, held back until %s.", status.Heartbeat.From.Address,
			status.damping.returns, status.damping.until.Format(time.RFC3339))
	}
	status.suspected = time.Time{}
}

func (t *Table) suspectPeer(status *Status, now time.Time) {
	status.suspected = now
	status.owed = true
	klog.Infof("member: router %s is suspected.", status.Heartbeat.From.Address)
}

// Suspected reports whether the peer is suspected already.
func (t *Table) Suspected(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	status, ok := t.peers[address]
	return ok && !status.suspected.IsZero()
}

// Unanswered records that neither this router nor its helpers got an answer
// from the peer.
func (t *Table) ProbeFailed(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	status, ok := t.peers[address]
	if !ok || !status.suspected.IsZero() {
		return
	}
	t.suspectPeer(status, now)
	t.updates.add(Update{Address: address, Counter: status.counter, Claim: ClaimSuspect})
}

// Leave marks this router as leaving and returns the news for its peers.
func (t *Table) Leave() Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
	t.counter++
	update := Update{Address: t.self.Address, Counter: t.counter, Claim: ClaimLeaving}
	t.updates.add(update)
	return update
}

// Slept restarts all suspicions: this router did not run while they aged.
func (t *Table) RestartSuspicions(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, status := range t.peers {
		if !status.suspected.IsZero() && !t.silent(status, now) {
			status.suspected = now
		}
	}
}
