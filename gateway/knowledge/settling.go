package knowledge

import (
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/platform"
)

const (
	// HoldAfterRecovery is how long endpoints whose entries expired during an outage
	// of the store are kept after it: they could not renew their entries meanwhile.
	HoldAfterRecovery = 1900 * time.Millisecond
	// defaultEntryLifetime is how long the entry of an endpoint that has stopped stays in the
	// store if the settings do not specify it.
	defaultEntryLifetime = 4 * time.Second
)

// settling holds the items that are not applied yet because they may be superseded, and decides when
// they are applied. It is not safe for concurrent use.
//
// The entry of an endpoint may expire during an outage of the store although the endpoint is alive:
// its deletion is held until the endpoint had time to write its entry again. A store that came back
// from a copy lists entries that are older than the known ones, and entries of endpoints that are
// gone. Such an entry is doubted: the endpoint writes a newer one, or the entry expires; if neither
// happens in time, it is applied.
type settling struct {
	// era is the era of the store that the entries are complete for.
	era int64
	// held are the held deletions by key, doubted the doubted entries.
	held    map[string]platform.Item
	doubted map[string]platform.Item
	// storeLost reports whether the store is unavailable. holdUntil is the end of
	// HoldAfterRecovery after the last outage, doubtUntil the time at which doubted entries are
	// applied.
	storeLost  bool
	holdUntil  clock.Boot
	doubtUntil clock.Boot
	// lostAt is when the last outage began, available the last known span in which the store was
	// available to some VM.
	lostAt    clock.Boot
	available Availability
	// entryLifetime is how long the entry of an endpoint that has stopped stays in the store.
	entryLifetime time.Duration
}

func newSettling() settling {
	return settling{
		held:          map[string]platform.Item{},
		doubted:       map[string]platform.Item{},
		entryLifetime: defaultEntryLifetime,
	}
}

// beginEra begins a later era of the store and drops the doubted entries of the one before. If any
// entry is known, it also ends an outage and begins HoldAfterRecovery.
func (s *settling) beginEra(era int64, hasEntries bool, now clock.Boot) {
	s.era = era
	if hasEntries {
		s.storeLost = false
		s.holdUntil = now.Add(HoldAfterRecovery)
	}
	s.doubtUntil = now.Add(s.doubtTime())
	s.doubted = map[string]platform.Item{}
}

// markStoreLost begins an outage of the store.
func (s *settling) markStoreLost(now clock.Boot) {
	s.storeLost = true
	s.lostAt = now
}

// markStoreRestored ends an outage of the store and lets HoldAfterRecovery begin with the return of the
// store, which it returns. It does so even if an update of another VM has begun a later era during the
// outage.
func (s *settling) markStoreRestored(now clock.Boot) (returnedAt clock.Boot) {
	s.storeLost = false
	returnedAt = s.returnedAt(now)
	s.extendHold(returnedAt.Add(HoldAfterRecovery))
	s.extendDoubt(returnedAt.Add(s.doubtTime()))
	return returnedAt
}

// returnedAt returns when the store returned for a VM that reaches it at now: the beginning of the known span,
// if others have reached the store since this VM lost it and so lately that no entry has expired in a
// further outage since: endpoints renew their entries three times in the lifetime of an entry.
func (s *settling) returnedAt(now clock.Boot) clock.Boot {
	known := s.available
	if known.Until <= s.lostAt || now.Sub(known.Until) > s.entryLifetime/3 {
		return now
	}
	return min(known.Since, now)
}

// holdsDeletions reports whether deletions that are not final are held at now.
func (s *settling) holdsDeletions(now clock.Boot) bool {
	return s.storeLost || now < s.holdUntil
}

// hold holds a deletion, without a value that the store may have sent with it. The known endpoint stays
// in use.
func (s *settling) hold(deletion platform.Item) {
	deletion.Value = nil
	s.held[deletion.Key] = deletion
	klog.InfoS("config: expired endpoint is held", "key", deletion.Key, "revision", deletion.Revision, "era", deletion.Era)
}

// extendHold holds deletions at least until a time.
func (s *settling) extendHold(until clock.Boot) {
	s.holdUntil = max(s.holdUntil, until)
}

// holdLeft returns how long deletions are held at least, 0 if none is.
func (s *settling) holdLeft(now clock.Boot) time.Duration {
	if len(s.held) == 0 || s.storeLost {
		return 0
	}
	return max(s.holdUntil.Sub(now), 0)
}

// heldDeletions returns the held deletions for other VMs: none during an outage of the store, the end
// of which is not known.
func (s *settling) heldDeletions() []platform.Item {
	if s.storeLost {
		return nil
	}
	return slices.Collect(maps.Values(s.held))
}

// doubtTime is the time from the return of the store until the entry of an endpoint that is gone has
// expired.
func (s *settling) doubtTime() time.Duration {
	return HoldAfterRecovery + s.entryLifetime
}

// extendDoubt lets doubted entries stay doubted at least until a time. During an outage, entries may
// not expire.
func (s *settling) extendDoubt(until clock.Boot) {
	s.doubtUntil = max(s.doubtUntil, until)
}

// doubtLeft returns how long entries stay doubted at least: the whole time during an outage. A VM that
// doubts none tells it as well, since it may be the only one that has noticed an outage.
func (s *settling) doubtLeft(now clock.Boot) time.Duration {
	if s.storeLost {
		return s.doubtTime()
	}
	return max(s.doubtUntil.Sub(now), 0)
}

// doubt sets an entry aside. The known endpoint, if any, stays as it is. An entry of an earlier era is
// dropped: the copy that the era began with lacks it.
func (s *settling) doubt(item platform.Item) {
	if item.Era < s.era {
		return
	}
	delete(s.held, item.Key)
	s.doubted[item.Key] = item
	klog.InfoS("config: entry of a restored copy is doubted", "key", item.Key, "revision", item.Revision, "era", item.Era)
}

// forget drops what is held or doubted of a key.
func (s *settling) forget(key string) {
	delete(s.held, key)
	delete(s.doubted, key)
}

// forgetUnlisted drops the doubted entries that a full list up to a position does not have.
func (s *settling) forgetUnlisted(listed map[string]bool, position traffic.Position) {
	for key, item := range s.doubted {
		if !listed[key] && !item.Position().After(position) {
			delete(s.doubted, key)
		}
	}
}

// dueDeletions returns the held deletions if they are to be applied: a read that began after the hold
// shows that the endpoints did not write their entries again. confirmed is the beginning of the last read.
func (s *settling) dueDeletions(confirmed clock.Boot) map[string]platform.Item {
	if s.storeLost || confirmed < s.holdUntil {
		return nil
	}
	return s.held
}

// dueEntries returns the doubted entries if they are to be applied: a read that began when their time
// was over shows that they still stand. confirmed is the beginning of the last read.
func (s *settling) dueEntries(confirmed clock.Boot) map[string]platform.Item {
	if s.storeLost || confirmed < s.doubtUntil {
		return nil
	}
	return s.doubted
}

// nextRead returns the time at which a read has to begin to settle the first items, given the beginning
// of the last read; ok is false if nothing is unsettled.
func (s *settling) nextRead(confirmed clock.Boot) (at clock.Boot, ok bool) {
	if len(s.held) > 0 && confirmed < s.holdUntil {
		return s.holdUntil, true
	}
	return s.doubtUntil, len(s.doubted) > 0 && confirmed < s.doubtUntil
}
