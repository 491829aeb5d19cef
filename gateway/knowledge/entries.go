package knowledge

import (
	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/platform"
)

// entries holds the entries of endpoints in the store, in the order in which they were
// written. It is not safe for concurrent use.
type entries struct {
	// items are the newest items by key, endpoints the valid ones decoded. Invalid items have no
	// value.
	items     map[string]platform.Item
	endpoints map[string]*traffic.Endpoint
	// tombstones are the recent deletions by key.
	tombstones map[string]tombstone
	// deletionsSince is the position after which all deletions are in tombstones.
	deletionsSince traffic.Position
	// began is the position at which this VM took over the store's era: later entries are not of
	// the copy.
	began traffic.Position
	// settling holds the items that are not applied yet.
	settling settling
	// newest is the position of the newest change that was applied.
	newest traffic.Position
}

func newEntries() *entries {
	return &entries{
		items:      map[string]platform.Item{},
		endpoints:  map[string]*traffic.Endpoint{},
		tombstones: map[string]tombstone{},
		settling:   newSettling(),
	}
}

// beginEra prepares for the items of a later era of the store. Endpoints that registered after
// the copy was made get the time to write their entries again.
func (e *entries) beginEra(began traffic.Position, now clock.Boot) {
	era := began.Era
	e.began = began
	e.settling.beginEra(era, len(e.items) > 0, now)
	e.newest = traffic.Position{Era: era}
}

// recordPosition raises newest to the position of an applied item.
func (e *entries) recordPosition(position traffic.Position) {
	if position.After(e.newest) {
		e.newest = position
	}
}

// knownPosition returns the newest known position of a key, also of a deleted, held or doubted one.
func (e *entries) knownPosition(key string) traffic.Position {
	known := e.tombstones[key].position
	for _, item := range []platform.Item{e.items[key], e.settling.held[key], e.settling.doubted[key]} {
		if item.Position().After(known) {
			known = item.Position()
		}
	}
	return known
}

// apply applies an endpoint's entry, or its deletion, if it is newer than the known one. An
// invalid entry removes the endpoint. It reports whether the endpoints changed.
func (e *entries) apply(item platform.Item, update *Update, now clock.Boot) bool {
	e.dropSuperseded(item)
	known := e.knownPosition(item.Key)
	if !item.Position().After(known) && !e.endsHold(item, update) {
		return false
	}
	if item.Deleted {
		changed := e.applyDeletion(item, update.DeletionsFinal, now)
		e.recordLastWrite(item.Key, update.LastWrites[item.Key])
		return changed
	}
	endpoint, err := platform.DecodeEndpoint(item)
	if item.Era > known.Era && e.isDoubtful(item.Key, endpoint, err) {
		e.settling.doubt(item)
		return false
	}
	return e.accept(item, endpoint, err)
}

// endsHold reports whether an item is a deletion that another VM has applied, of an entry whose
// deletion is held here, maybe at another position.
func (e *entries) endsHold(item platform.Item, update *Update) bool {
	_, held := e.settling.held[item.Key]
	known := e.items[item.Key]
	return held && item.Deleted && update.DeletionsFinal && item.Position().After(known.Position())
}

// isDoubtful reports whether an entry of a later era may be one of the copy that the endpoint has
// written over since. endpoint and err are the result of decoding it.
func (e *entries) isDoubtful(key string, endpoint *traffic.Endpoint, err error) bool {
	if err != nil {
		return e.endpoints[key] != nil
	}
	return e.isOutdated(endpoint.Write(), key)
}

// accept stores an item as the newest one of its key. endpoint and err are the result of decoding
// it. It reports whether the endpoints changed.
func (e *entries) accept(item platform.Item, endpoint *traffic.Endpoint, err error) bool {
	e.settling.forget(item.Key)
	delete(e.tombstones, item.Key)
	e.items[item.Key] = item
	e.recordPosition(item.Position())
	if err != nil {
		klog.ErrorS(err, "config: ignored an invalid endpoint entry", "key", item.Key, "revision", item.Revision, "era", item.Era)
		e.items[item.Key] = platform.Item{Key: item.Key, Era: item.Era, Revision: item.Revision}
		_, existed := e.endpoints[item.Key]
		delete(e.endpoints, item.Key)
		return existed
	}
	logEndpoint(e.endpoints[item.Key], endpoint)
	e.endpoints[item.Key] = endpoint
	return true
}

// isOutdated reports whether an entry of a later era is older than what is known of its key.
func (e *entries) isOutdated(listed traffic.Write, key string) bool {
	if deletion, ok := e.tombstones[key]; ok {
		return deletion.last.StartedMS == 0 || listed.StartedMS <= deletion.last.StartedMS
	}
	known, ok := e.endpoints[key]
	return ok && listed.Before(known.Write())
}

// logEndpoint logs an endpoint that is new, was restarted or moved, or started or stopped
// draining. before is nil for a new one.
func logEndpoint(before, after *traffic.Endpoint) {
	if before == nil || !before.SameInstance(after) || before.Draining != after.Draining {
		klog.InfoS("config: endpoint", "endpoint", after.ID, "address", after.Address, "service", after.Service,
			"draining", after.Draining, "revision", after.Position.Revision, "era", after.Position.Era)
	}
}

// applyDeletion removes an endpoint. During an outage of the store and for
// HoldAfterRecovery after it, it holds the endpoint instead, unless the deletion is final: its
// entry may only have expired. It reports whether an endpoint was removed.
func (e *entries) applyDeletion(item platform.Item, final bool, now clock.Boot) bool {
	delete(e.settling.doubted, item.Key)
	if _, ok := e.items[item.Key]; !ok {
		e.addTombstone(item, e.tombstones[item.Key].last, now)
		return false
	}
	if !final && e.settling.holdsDeletions(now) {
		e.settling.hold(item)
		return false
	}
	e.remove(item, now)
	return true
}

// hold holds the endpoints that another VM holds, for as long as that one does. That VM may end before
// it removes them, and no other one tells their deletions to a VM that is past their positions.
func (e *entries) hold(deletions []platform.Item, until clock.Boot) {
	for _, deletion := range deletions {
		_, held := e.settling.held[deletion.Key]
		if _, known := e.items[deletion.Key]; held || !known || !deletion.Position().After(e.knownPosition(deletion.Key)) {
			continue
		}
		delete(e.settling.doubted, deletion.Key)
		e.settling.hold(deletion)
		e.settling.extendHold(until)
	}
}

// remove removes an endpoint and records its tombstone, at the position of the held deletion if that is later: VMs
// that lag behind may tell of entries between both.
func (e *entries) remove(deletion platform.Item, now clock.Boot) {
	if held := e.settling.held[deletion.Key]; held.Position().After(deletion.Position()) {
		deletion = held
	}
	last := traffic.Write{}
	if endpoint, ok := e.endpoints[deletion.Key]; ok {
		last = endpoint.Write()
	}
	delete(e.settling.held, deletion.Key)
	delete(e.items, deletion.Key)
	delete(e.endpoints, deletion.Key)
	e.addTombstone(deletion, last, now)
	e.recordPosition(deletion.Position())
	klog.InfoS("config: endpoint removed", "key", deletion.Key, "revision", deletion.Revision, "era", deletion.Era)
}

// removeUnlisted removes the endpoints that a full update does not list. An endpoint whose entry
// is of an earlier era may have registered after the copy was made, so it can be held in any case.
// It reports whether any was removed.
func (e *entries) removeUnlisted(update *Update, now clock.Boot) bool {
	listed := update.listedKeys()
	changed := false
	for key, item := range e.items {
		if listed[key] || item.Position().After(update.Position()) {
			continue
		}
		deletion := platform.Item{Key: key, Era: update.Era, Revision: update.Revision, Deleted: true}
		final := update.DeletionsFinal && item.Era == update.Era
		changed = e.applyDeletion(deletion, final, now) || changed
	}
	e.deletionsKnownAfter(update.Position())
	e.settling.forgetUnlisted(listed, update.Position())
	return changed
}

// settle removes the held endpoints that did not renew their entries in time, and accepts the
// doubted entries that still stand. confirmed is the beginning of the last read. It reports whether there
// was any.
func (e *entries) settle(confirmed, now clock.Boot) bool {
	settled := false
	for _, deletion := range e.settling.dueDeletions(confirmed) {
		e.remove(deletion, now)
		settled = true
	}
	for key, item := range e.settling.dueEntries(confirmed) {
		klog.InfoS("config: doubted entry is accepted", "key", key, "revision", item.Revision, "era", item.Era)
		endpoint, err := platform.DecodeEndpoint(item)
		e.accept(item, endpoint, err)
		settled = true
	}
	return settled
}

// since returns the items after a position, or all of them. It includes all recent tombstones, since the
// deletion of a held entry has a lower position than the requester's when it becomes final, and all
// doubted items, since a requester without them would not accept them in time.
func (e *entries) since(position traffic.Position, all bool, now clock.Boot) []platform.Item {
	var items []platform.Item
	for key, deletion := range e.tombstones {
		if !deletion.isShared(now) {
			continue
		}
		items = append(items, platform.Item{Key: key, Era: deletion.position.Era, Revision: deletion.position.Revision, Deleted: true})
	}
	for _, item := range e.items {
		if all || item.Position().After(position) {
			items = append(items, item)
		}
	}
	for _, item := range e.settling.doubted {
		items = append(items, item)
	}
	return items
}
