package knowledge

import (
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
	// store if the settings do not tell.
	defaultEntryLifetime = 4 * time.Second
)

// beginEra prepares for the items of a later era of the store. Endpoints that registered after
// the copy was made get the time to write their entries again.
func (e *entries) beginEra(era int64, now clock.Boot) {
	if len(e.items) > 0 {
		e.storeLost = false
		e.holdUntil = now.Add(HoldAfterRecovery)
	}
	e.doubtUntil = now.Add(HoldAfterRecovery + e.lifetime)
	e.doubted = map[string]platform.Item{}
	e.newest = traffic.Position{Era: era}
}

// isOutdated reports whether an entry of a later era is older than what is known of its key.
func (e *entries) isOutdated(listed *traffic.Endpoint, key string) bool {
	if deletion, ok := e.tombstones[key]; ok {
		return deletion.startedMS == 0 || listed.StartedMS <= deletion.startedMS
	}
	known, ok := e.endpoints[key]
	return ok && listed.WrittenBefore(known)
}

// doubt sets an item aside. The known endpoint, if any, stays as it is.
func (e *entries) doubt(item platform.Item) {
	delete(e.held, item.Key)
	e.doubted[item.Key] = item
	klog.InfoS("config: entry of a restored copy is doubted", "key", item.Key, "revision", item.Revision, "era", item.Era)
}

// markStoreLost begins an outage of the store.
func (e *entries) markStoreLost() {
	e.storeLost = true
}

// markStoreRestored ends an outage of the store, if there is one.
func (e *entries) markStoreRestored(now clock.Boot) {
	if e.storeLost {
		e.storeLost = false
		e.holdUntil = now.Add(HoldAfterRecovery)
	}
}

// expire removes the held endpoints that did not renew their entries in time, and accepts the
// doubted items that still stand. It reports whether it changed anything.
func (e *entries) expire(now clock.Boot) bool {
	if e.storeLost {
		return false
	}
	changed := false
	if now >= e.holdUntil {
		changed = e.removeHeld(now)
	}
	if now >= e.doubtUntil {
		changed = e.acceptDoubted() || changed
	}
	return changed
}

// removeHeld removes all held endpoints. It reports whether there was any.
func (e *entries) removeHeld(now clock.Boot) bool {
	found := len(e.held) > 0
	for key, position := range e.held {
		e.remove(platform.Item{Key: key, Era: position.Era, Revision: position.Revision, Deleted: true}, now)
	}
	return found
}

// acceptDoubted accepts all doubted items. It reports whether there was any.
func (e *entries) acceptDoubted() bool {
	found := len(e.doubted) > 0
	for key, item := range e.doubted {
		klog.InfoS("config: doubted entry is accepted", "key", key, "revision", item.Revision, "era", item.Era)
		endpoint, err := platform.DecodeEndpoint(item)
		e.accept(item, endpoint, err)
	}
	return found
}
