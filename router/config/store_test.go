package config

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"runtime"
	"strings"
	"testing"

	"cardamompoint.example/cardamompoint/router/source"
)

const (
	goodTemplate = `{"parameters": {"n": {"type": "integer", "default": 1, "minimum": 1}},
		"completion": {"models": [{"model": "m"}], "max_tokens": {"parameter": "n"}}}`
	plainTemplate = `{"completion": {"models": [{"model": "m"}]}}`
	badTemplate   = `{"completion": {"models": []}}`
)

func newDocument(version int64, key, data string) source.Document {
	return source.Document{Key: key, Version: version, Data: json.RawMessage(data), Deleted: data == ""}
}

// syncStore transfers what to lacks from another store, as routers do, and returns
// the number of changed units.
func syncStore(to, from *Store) int {
	names := to.Missing(from.Stamps(to.Digest()))
	return len(to.Merge(from.Units(names, 1<<30)))
}

func requireEqualStores(t *testing.T, a, b *Store) {
	t.Helper()
	left, right := a.Digest(), b.Digest()
	if left.Root() != right.Root() {
		t.Fatalf("the digests differ")
	}
	if !reflect.DeepEqual(a.Snapshot().Workspaces, b.Snapshot().Workspaces) {
		t.Fatalf("the workspaces in force differ: %v and %v", a.Snapshot().Workspaces, b.Snapshot().Workspaces)
	}
}

// TestGapIsFound pushes version 3 to a store that lacks version 2: its revision
// must not advance past the gap, and the next exchange must fill it.
func TestGapIsFound(t *testing.T) {
	from, to := NewStore(), NewStore()
	from.Apply([]source.Document{newDocument(1, TemplateKey("a"), plainTemplate)}, 1)
	syncStore(to, from)
	to.Advance(0, 1)
	from.Apply([]source.Document{newDocument(2, TemplateKey("b"), plainTemplate)}, 2)
	pushed := from.Apply([]source.Document{newDocument(3, TemplateKey("c"), plainTemplate)}, 3)
	to.Merge(pushed)
	to.Advance(2, 3)
	if got := to.Snapshot().Revision; got != 1 {
		t.Fatalf("the revision is %d with a gap, want 1", got)
	}
	if fresh := syncStore(to, from); fresh != 1 {
		t.Fatalf("%d units were transferred, want the missing one", fresh)
	}
	requireEqualStores(t, from, to)
}

// TestLastAcceptedIsHandedOver checks that a store gets a unit's last accepted
// documents from a peer if the platform shows only a newer, refused template.
func TestLastAcceptedIsHandedOver(t *testing.T) {
	from, to := NewStore(), NewStore()
	from.Apply([]source.Document{newDocument(1, TemplateKey("a"), goodTemplate), newDocument(2, ParametersKey("a"), `{"n": 7}`)}, 2)
	from.Apply([]source.Document{newDocument(3, TemplateKey("a"), badTemplate)}, 3)
	// The platform returns only the newest documents.
	to.Apply([]source.Document{newDocument(2, ParametersKey("a"), `{"n": 7}`), newDocument(3, TemplateKey("a"), badTemplate)}, 3)
	if fresh := syncStore(to, from); fresh != 1 {
		t.Fatalf("%d units were transferred, want 1", fresh)
	}
	requireEqualStores(t, from, to)
	rules, err := to.Snapshot().Rules("a")
	if err != nil || rules.TemplateVersion != 1 || rules.Completion.MaxTokens != 7 {
		t.Fatalf("in force is %+v, %v", rules, err)
	}
}

// TestPairIsAcceptedAsAWhole publishes a template that no longer declares a
// published parameter: the old template and parameters stay in force until both
// match again.
func TestPairIsAcceptedAsAWhole(t *testing.T) {
	store := NewStore()
	store.Apply([]source.Document{newDocument(1, TemplateKey("a"), goodTemplate), newDocument(2, ParametersKey("a"), `{"n": 7}`)}, 2)
	store.Apply([]source.Document{newDocument(3, TemplateKey("a"), plainTemplate)}, 3)
	rules, _ := store.Snapshot().Rules("a")
	if rules.TemplateVersion != 1 || len(store.Snapshot().Refused) != 1 {
		t.Fatalf("in force is %+v, refused %v", rules, store.Snapshot().Refused)
	}
	store.Apply([]source.Document{newDocument(4, ParametersKey("a"), `{}`)}, 4)
	rules, _ = store.Snapshot().Rules("a")
	if rules.TemplateVersion != 3 || rules.ParameterVersion != 4 || len(store.Snapshot().Refused) != 0 {
		t.Fatalf("in force is %+v, refused %v", rules, store.Snapshot().Refused)
	}
}

// TestNeverReverts delivers a random history in random order, with stale platform
// replicas and peers, and checks that versions in force only rise and that all
// stores converge to the result of the platform's order.
func TestNeverReverts(t *testing.T) {
	documents := []string{goodTemplate, plainTemplate, badTemplate, ""}
	values := []string{`{}`, `{"n": 5}`, `{"n": 0}`, ""}
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 1))
		reference := NewStore()
		stores := []*Store{NewStore(), NewStore(), NewStore(), NewStore()}
		inForce := make([]map[string][2]int64, len(stores))
		var history []source.Document
		for version := int64(1); version <= 60; version++ {
			workspace := fmt.Sprint(random.IntN(4))
			next := newDocument(version, TemplateKey(workspace), documents[random.IntN(len(documents))])
			if random.IntN(2) == 0 {
				next = newDocument(version, ParametersKey(workspace), values[random.IntN(len(values))])
			}
			history = append(history, next)
			reference.Apply([]source.Document{next}, version)
			reader := stores[random.IntN(len(stores))]
			after := reader.Snapshot().Revision
			if shown := int64(random.IntN(len(history) + 1)); shown >= after {
				reader.Apply(history[after:shown], shown)
			}
			to, from := random.IntN(len(stores)), random.IntN(len(stores))
			syncStore(stores[to], stores[from])
			for i, store := range stores {
				inForce[i] = requireRisingVersions(t, seed, inForce[i], store)
			}
		}
		for _, store := range stores {
			syncStore(store, reference)
			requireEqualStores(t, store, reference)
		}
	}
}

// requireRisingVersions fails if a template and parameters in force are older than
// before. A deleted template takes the workspace out of force, which does not count
// as older.
func requireRisingVersions(t *testing.T, seed uint64, before map[string][2]int64, store *Store) map[string][2]int64 {
	t.Helper()
	after := map[string][2]int64{}
	for name, pair := range before {
		after[name] = pair
	}
	for name, rules := range store.Snapshot().Workspaces {
		pair := [2]int64{rules.TemplateVersion, rules.ParameterVersion}
		if pair[0] < before[name][0] || pair[1] < before[name][1] {
			t.Fatalf("seed %d: workspace %s went from %v to %v", seed, name, before[name], pair)
		}
		after[name] = pair
	}
	return after
}

// BenchmarkChange measures one change in a store with many workspaces.
func BenchmarkChange(b *testing.B) {
	for _, count := range []int{1000, 4000, 7900} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			store := NewStore()
			var all []source.Document
			for i := range count {
				all = append(all, newDocument(int64(i+1), TemplateKey(fmt.Sprint("workspace-", i)), goodTemplate))
			}
			store.Apply(all, int64(count))
			version := int64(count)
			b.ReportAllocs()
			for b.Loop() {
				version++
				store.Apply([]source.Document{newDocument(version, TemplateKey("workspace-7"), goodTemplate)}, version)
			}
		})
	}
}

// BenchmarkMemory reports the heap size per workspace for templates of about 1 KB.
func BenchmarkMemory(b *testing.B) {
	document := strings.Replace(goodTemplate, "{", `{"description": "`+strings.Repeat(" lane", 160)+`",`, 1)
	for _, count := range []int{1000, 4000, 7900} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				store := NewStore()
				var all []source.Document
				for i := range count {
					all = append(all, newDocument(int64(i+1), TemplateKey(fmt.Sprint("workspace-", i)), strings.Clone(document)))
				}
				store.Apply(all, int64(count))
				b.ReportMetric(float64(heapBytes()-before)/float64(count), "heap-B/workspace")
				runtime.KeepAlive(store)
			}
		})
	}
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
