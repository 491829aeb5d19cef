package soak

import (
	"fmt"
	"net/http"
	"time"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

const (
	// maxStoreAway is the longest time for which the store is away before it comes back from
	// a copy.
	maxStoreAway = 2 * time.Second
	// minRewriteDelay and maxRewriteDelay bound the time from the return until operator and
	// workers have written again.
	minRewriteDelay = 100 * time.Millisecond
	maxRewriteDelay = 1500 * time.Millisecond
	// maxOtherItems bounds the number of items that other writers write between two faults.
	maxOtherItems = 20
)

// storeLoss is one loss of what the store acknowledged since a copy.
type storeLoss struct {
	contents hosted.StoreCopy
	// fault is how the store fails calls for away, before it comes back.
	fault hosted.Fault
	away  time.Duration
	// rewrite is the time from the return until operator and workers have written again.
	rewrite time.Duration
}

// copyStore takes the copy from which the store comes back later.
func (s *soak) copyStore() {
	s.logFault("store: copy taken")
	s.storeCopy = s.store.Copy()
}

// writeOtherItems writes items of other writers, and sometimes takes a copy before.
func (s *soak) writeOtherItems() {
	if s.random.IntN(8) == 0 {
		s.copyStore()
	}
	for range s.random.IntN(maxOtherItems) {
		s.store.Put("other/item", nil)
	}
}

// restoreStore lets the store come back from a copy once or twice, while other faults go on.
func (s *soak) restoreStore() {
	losses := []storeLoss{s.randomLoss()}
	if s.random.IntN(3) == 0 {
		losses = append(losses, s.randomLoss())
	}
	s.loseStore(losses)
}

// restoreStoreSometimes lets the store come back from a copy in half of the cases. It returns
// when the store is back; operator and workers write again later.
func (s *soak) restoreStoreSometimes() {
	if s.random.IntN(2) == 0 {
		return
	}
	loss := s.randomLoss()
	s.loseStore([]storeLoss{loss})
	time.Sleep(loss.away)
}

// cutWatchesSometimes lets the store cut watches that have waited for 100 to 700 ms, in half of the cases.
// That is no outage of the store: VMs may count as undisturbed.
func (s *soak) cutWatchesSometimes() {
	if s.random.IntN(2) == 0 {
		return
	}
	after := time.Duration(100+s.random.IntN(600)) * time.Millisecond
	s.logFault("store: cuts watches that have waited for %v", after)
	s.store.CutWatches(after)
}

// randomLoss draws a loss. In a quarter of the cases the store is not away at all.
func (s *soak) randomLoss() storeLoss {
	loss := storeLoss{
		contents: s.storeCopy,
		fault:    hosted.FaultUnavailable + hosted.Fault(s.random.IntN(int(hosted.FaultHang))),
		rewrite:  minRewriteDelay + time.Duration(s.random.Int64N(int64(maxRewriteDelay-minRewriteDelay))),
	}
	if s.random.IntN(4) > 0 {
		loss.away = time.Duration(s.random.Int64N(int64(maxStoreAway)))
	}
	return loss
}

// loseStore runs losses one after the other in the background. heal waits for their end.
func (s *soak) loseStore(losses []storeLoss) {
	for _, loss := range losses {
		s.logFault("store: fault %d for %v, back from the copy, written again after %v", loss.fault, loss.away, loss.rewrite)
	}
	s.lossCount += len(losses)
	endFirst := s.record.beginFault(allVMs, "store restored")
	s.restores.Go(func() {
		s.runLoss(losses[0], endFirst)
		for _, loss := range losses[1:] {
			s.runLoss(loss, s.record.beginFault(allVMs, "store restored"))
		}
	})
}

// runLoss runs a loss, whose fault period endFault ends.
func (s *soak) runLoss(loss storeLoss, endFault func()) {
	if loss.away > 0 {
		s.store.SetFault(loss.fault)
		time.Sleep(loss.away)
	}
	s.store.Restore(loss.contents)
	s.store.SetFault(hosted.FaultNone)
	endFault()
	time.Sleep(loss.rewrite)
	s.rewriteStore()
}

// rewriteStore lets operator and workers write again what the store has lost.
func (s *soak) rewriteStore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.RewriteConfiguration()
	s.store.RewriteEndpoints()
	for version := max(1, s.version-keptPaths+1); version <= s.version; version++ {
		s.record.rewritten[versionPath(version)] = time.Now()
	}
}

// expireReplaced deletes the entries of replaced workers that a copy has brought back.
func (s *soak) expireReplaced() {
	for _, slot := range s.slots {
		for _, worker := range slot.all {
			if worker != slot.worker.Load() {
				s.store.DeleteEndpoint(worker.ID)
			}
		}
	}
}

// checkRewrittenInTime checks that a VM which is undisturbed after the store's return knows the
// paths that the operator has published again, within maxConfigDelay.
func checkRewrittenInTime(h *callHistory) (violations []string) {
	for _, call := range h.calls {
		rewritten, known := h.record.rewritten[call.path]
		removed, isRemoved := h.removed[call.path]
		if !known || call.key != hosted.Key || call.boot < 0 || (isRemoved && !call.ended.Before(removed)) {
			continue
		}
		if call.sent.After(rewritten.Add(maxConfigDelay)) && call.status == http.StatusNotFound && h.undisturbed(&call, call.sent) {
			violations = append(violations, fmt.Sprintf("%s %s is unknown at VM %d %v after it was published again", call.path, call.id, call.gateway, call.sent.Sub(rewritten)))
		}
	}
	return violations
}
