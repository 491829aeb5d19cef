package knowledge

import (
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/platform"
)

const (
	// tombstoneTTL is how long tombstones are kept. No source of updates that is still
	// in use lags that far behind.
	tombstoneTTL = 60 * time.Second
	// tombstoneSharedFor is how long responses to other VMs include a deletion: well below
	// tombstoneTTL, so that no VM receives one again after it has dropped it.
	tombstoneSharedFor = 30 * time.Second
	// maxTombstones bounds the tombstones.
	maxTombstones = 4096
)

// tombstone records the deletion of an entry.
type tombstone struct {
	position  traffic.Position
	appliedAt clock.Boot
	// last is the last known write of the entry, zero if none is.
	last traffic.Write
}

// addTombstone records a deletion, so that an older entry can't restore the key and that other VMs
// receive the deletion.
func (e *entries) addTombstone(deletion platform.Item, last traffic.Write, now clock.Boot) {
	if len(e.tombstones) >= maxTombstones {
		e.dropAnyTombstone()
	}
	e.tombstones[deletion.Key] = tombstone{deletion.Position(), now, last}
}

// dropAnyTombstone drops one tombstone.
func (e *entries) dropAnyTombstone() {
	for key, entry := range e.tombstones {
		delete(e.tombstones, key)
		e.deletionsKnownAfter(entry.position)
		return
	}
}

// expireTombstones drops the tombstones that are older than tombstoneTTL. VMs that lack a deletion which
// is no longer shared get all entries instead.
func (e *entries) expireTombstones(now clock.Boot) {
	for key, entry := range e.tombstones {
		if !entry.isShared(now) {
			e.deletionsKnownAfter(entry.position)
		}
		if now.Sub(entry.appliedAt) > tombstoneTTL {
			delete(e.tombstones, key)
		}
	}
}

// isShared reports whether responses to other VMs include the deletion.
func (t tombstone) isShared(now clock.Boot) bool {
	return now.Sub(t.appliedAt) <= tombstoneSharedFor
}

// recordLastWrite raises the last known write of a deleted entry.
func (e *entries) recordLastWrite(key string, last traffic.Write) {
	if deletion, ok := e.tombstones[key]; ok && deletion.last.Before(last) {
		deletion.last = last
		e.tombstones[key] = deletion
	}
}

// lastWrites returns the last known writes of the deleted entries by key.
func (e *entries) lastWrites() map[string]traffic.Write {
	writes := map[string]traffic.Write{}
	for key, deletion := range e.tombstones {
		if deletion.last != (traffic.Write{}) {
			writes[key] = deletion.last
		}
	}
	return writes
}

// deletionsKnownAfter raises deletionsSince.
func (e *entries) deletionsKnownAfter(position traffic.Position) {
	if position.After(e.deletionsSince) {
		e.deletionsSince = position
	}
}

// dropSuperseded drops the tombstone of an earlier era if an item was written since this one began.
func (e *entries) dropSuperseded(item platform.Item) {
	deletion, ok := e.tombstones[item.Key]
	if ok && !item.Deleted && deletion.position.Era < e.began.Era && item.Era == e.began.Era && item.Position().After(e.began) {
		delete(e.tombstones, item.Key)
	}
}
