package knowledge

import (
	"maps"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/platform"
)

// evacuations holds the evacuations in force. There are a few at most, so VMs send each other all of them. It is not
// safe for concurrent use.
type evacuations struct {
	// byDomain are the evacuations by failure domain.
	byDomain map[string]Evacuation
	// keepUntil is the time until which evacuations of an earlier era of the store stay in force: a store that came
	// back from a copy may lack them until the operator has written them again.
	keepUntil clock.Boot
}

func newEvacuations() *evacuations {
	return &evacuations{byDomain: map[string]Evacuation{}}
}

// beginEra prepares for the items of a later era of the store.
func (e *evacuations) beginEra(now clock.Boot) {
	e.keepUntil = now.Add(rewriteTime)
}

// replace puts the evacuations among items into force and ends the others. items must have all evacuations of the given
// era of the store. Those of earlier eras, which other VMs pass on, count until keepUntil. It reports whether anything
// changed.
func (e *evacuations) replace(items []platform.Item, era int64, now clock.Boot) bool {
	listed := map[string]bool{}
	changed := false
	for _, item := range items {
		domain, ok := platform.EvacuatedDomain(item.Key)
		if !ok || item.Deleted || item.Era < era && now >= e.keepUntil {
			continue
		}
		listed[domain] = true
		changed = e.begin(domain, item.Position(), now) || changed
	}
	for domain, known := range e.byDomain {
		kept := known.Position.Era < era && now < e.keepUntil
		if listed[domain] || kept {
			continue
		}
		e.end(domain, now)
		changed = true
	}
	return changed
}

// apply applies the changes among items that come after a position. It reports whether anything changed.
func (e *evacuations) apply(items []platform.Item, after traffic.Position, now clock.Boot) bool {
	changed := false
	for _, item := range items {
		domain, ok := platform.EvacuatedDomain(item.Key)
		if !ok || !item.Position().After(after) {
			continue
		}
		if item.Deleted {
			changed = e.end(domain, now) || changed
			continue
		}
		changed = e.begin(domain, item.Position(), now) || changed
	}
	return changed
}

// expire ends the evacuations of an earlier era that the operator did not write again in time. It reports whether
// there was any.
func (e *evacuations) expire(era int64, now clock.Boot) bool {
	if now < e.keepUntil {
		return false
	}
	expired := false
	for domain, known := range e.byDomain {
		if known.Position.Era < era {
			e.end(domain, now)
			expired = true
		}
	}
	return expired
}

// begin puts an evacuation into force. It reports whether there was none of the failure domain.
func (e *evacuations) begin(domain string, position traffic.Position, now clock.Boot) bool {
	known, ok := e.byDomain[domain]
	if ok {
		known.Position = position
		e.byDomain[domain] = known
		return false
	}
	e.byDomain[domain] = Evacuation{FailureDomain: domain, Position: position, LearnedAt: now}
	klog.InfoS("config: failure domain is evacuated", "failure_domain", domain, "revision", position.Revision, "era", position.Era)
	return true
}

// end ends an evacuation. It reports whether there was one.
func (e *evacuations) end(domain string, now clock.Boot) bool {
	known, ok := e.byDomain[domain]
	if !ok {
		return false
	}
	delete(e.byDomain, domain)
	klog.InfoS("config: evacuation has ended", "failure_domain", domain, "revision", known.Position.Revision,
		"era", known.Position.Era, "lasted_ms", now.Sub(known.LearnedAt).Milliseconds())
	return true
}

// items returns the evacuations for other VMs.
func (e *evacuations) items() []platform.Item {
	var items []platform.Item
	for domain, known := range e.byDomain {
		items = append(items, platform.Item{Key: platform.EvacuationPrefix + domain, Era: known.Position.Era, Revision: known.Position.Revision})
	}
	return items
}

// copyByDomain returns the evacuations by failure domain, nil if there are none.
func (e *evacuations) copyByDomain() map[string]Evacuation {
	if len(e.byDomain) == 0 {
		return nil
	}
	return maps.Clone(e.byDomain)
}
