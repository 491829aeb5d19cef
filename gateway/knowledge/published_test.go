package knowledge

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/platform"
)

// publishedVersion is a version that the store has acknowledged.
type publishedVersion struct {
	version int64
	ackedAt clock.Boot
}

// operator publishes configurations and writes its newest one again after the store was lost. It is safe
// for concurrent use.
type operator struct {
	store *impairedStore
	mu    sync.Mutex
	// version and keys are the content of the newest configuration.
	version int64
	keys    map[string]bool
	acked   []publishedVersion
	// withdrawn are the keys that were taken away, with the time of the acknowledgement.
	withdrawn map[string]clock.Boot
}

func newOperator(store *impairedStore) *operator {
	return &operator{store: store, keys: map[string]bool{}, withdrawn: map[string]clock.Boot{}}
}

// item returns the newest configuration. The caller holds the lock.
func (o *operator) item() platform.Item {
	keys := slices.Sorted(maps.Keys(o.keys))
	value := fmt.Sprintf(`{"version":%d,"routes":[],"services":[],"tenants":[{"name":"w","keys":["%s"]}]}`, o.version, strings.Join(keys, `","`))
	return platform.Item{Key: platform.ConfigurationKey, Value: []byte(value)}
}

// publish adds and withdraws keys, "" for none, in a new version. It fails while the store is away.
func (o *operator) publish(added, withdrawn string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.store.away() {
		return false
	}
	o.version += 2
	if added != "" {
		o.keys[added] = true
	}
	delete(o.keys, withdrawn)
	o.store.write(o.item())
	o.acked = append(o.acked, publishedVersion{o.version, clock.Now()})
	if withdrawn != "" {
		o.withdrawn[withdrawn] = clock.Now()
	}
	return true
}

// writeAgain writes the newest configuration if the store has another one.
func (o *operator) writeAgain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if item := o.item(); !o.store.away() && !o.store.has(item) {
		o.store.write(item)
	}
}

// ackedBefore returns the highest version that was acknowledged before a time.
func (o *operator) ackedBefore(at clock.Boot) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	version := int64(0)
	for _, published := range o.acked {
		if published.ackedAt < at {
			version = published.version
		}
	}
	return version
}

// withdrawnBefore returns the keys that were withdrawn before a time.
func (o *operator) withdrawnBefore(at clock.Boot) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var keys []string
	for key, withdrawnAt := range o.withdrawn {
		if withdrawnAt < at {
			keys = append(keys, key)
		}
	}
	return keys
}

// has reports whether the store has an item with the same value.
func (s *impairedStore) has(item platform.Item) bool {
	s.modelStore.mu.Lock()
	defer s.modelStore.mu.Unlock()
	return string(s.items[item.Key].Value) == string(item.Value)
}

// publishedState is what an endpoint does.
type publishedState int

const (
	stateReady publishedState = iota
	// stateDraining and stateUnlisted serve what they have; the entry of the second is removed.
	stateDraining
	stateUnlisted
	// stateEnded does not run any more.
	stateEnded
)

// publishedEndpoint is an endpoint that registers in the store, renews its entry and writes it again when
// the store has another one.
type publishedEndpoint struct {
	id                  string
	startedMS, sequence int64
	state               publishedState
	// cut reports whether it does not reach the store.
	cut bool
	// leftAt is when the store acknowledged, while stable, that it drains or is gone, 0 if it did not.
	leftAt clock.Boot
	// leftPosition is the store's position when it left last.
	leftPosition traffic.Position
	// renewedAt is when it last renewed its entry.
	renewedAt clock.Boot
}

// entry returns the endpoint's entry.
func (e *publishedEndpoint) entry() platform.Item {
	state := "ready"
	if e.state == stateDraining {
		state = "draining"
	}
	return entryItem(e.id, traffic.Position{}, e.startedMS, e.sequence, state)
}

// heartbeat renews the entry, and writes it if the store has none or one of another state or start. The
// entry of an unlisted endpoint is removed again.
func (e *publishedEndpoint) heartbeat(store *impairedStore, now clock.Boot) {
	if e.state == stateEnded || e.cut || store.away() {
		return
	}
	e.renewedAt = now
	if e.state == stateUnlisted {
		store.remove(e.id)
		return
	}
	e.sequence++
	written := store.endpoint(e.id)
	if written == nil || written.StartedMS != e.startedMS || written.Draining != (e.state == stateDraining) {
		store.write(e.entry())
	}
}

// endpoint returns the entry of an endpoint in the store, nil if there is none.
func (s *impairedStore) endpoint(id string) *traffic.Endpoint {
	s.modelStore.mu.Lock()
	item, ok := s.items[platform.EndpointPrefix+id]
	s.modelStore.mu.Unlock()
	if !ok {
		return nil
	}
	endpoint, err := platform.DecodeEndpoint(item)
	if err != nil {
		return nil
	}
	return endpoint
}

// remove removes the entry of an endpoint.
func (s *impairedStore) remove(id string) {
	s.write(platform.Item{Key: platform.EndpointPrefix + id, Deleted: true})
}
