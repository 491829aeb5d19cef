package config

import (
	"sort"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/platform"
	"cardamompoint.example/cardamompoint/template"
)

// Store keeps the newest version of each document and the snapshot in force.
// It is safe for concurrent use; reading the snapshot takes no lock.
type Store struct {
	snapshot atomic.Pointer[Snapshot]

	mu     sync.Mutex
	values map[string]platform.Value
}

// NewStore returns an empty Store.
func NewStore() *Store {
	store := &Store{values: map[string]platform.Value{}}
	store.snapshot.Store(newSnapshot())
	return store
}

// Snapshot returns what is in force.
func (s *Store) Snapshot() *Snapshot {
	return s.snapshot.Load()
}

// Apply takes in values up to revision and returns those that were newer than
// what the store had. Older versions are ignored.
func (s *Store) Apply(values []platform.Value, revision int64) []platform.Value {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.Snapshot().clone()
	var fresh []platform.Value
	for _, value := range values {
		if s.accept(next, value) {
			fresh = append(fresh, value)
		}
	}
	next.Revision = max(next.Revision, revision)
	s.snapshot.Store(next)
	return fresh
}

func (s *Store) accept(next *Snapshot, value platform.Value) bool {
	known, ok := s.values[value.Key]
	if ok && known.Version >= value.Version {
		return false
	}
	s.values[value.Key] = value
	s.install(next, value)
	return true
}

func (s *Store) install(next *Snapshot, value platform.Value) {
	kind, name := SplitKey(value.Key)
	var err error
	switch kind {
	case KindTemplate, KindParameters:
		err = s.installRules(next, name)
	case KindModel:
		err = installModel(next, name, value)
	default:
		err = code.New(code.InvalidDocument, "the key is not known").At(value.Key)
	}
	if err != nil {
		next.Refused[value.Key] = code.Of(err)
		klog.Warningf("config: %s version %d is refused: %v.", value.Key, value.Version, err)
		return
	}
	delete(next.Refused, value.Key)
	klog.Infof("config: %s version %d is in force.", value.Key, value.Version)
}

func (s *Store) installRules(next *Snapshot, workspace string) error {
	published, ok := s.values[TemplateKey(workspace)]
	if !ok || published.Deleted {
		delete(next.Workspaces, workspace)
		return nil
	}
	parameters := s.values[ParametersKey(workspace)]
	rules, err := template.Compile(workspace, published.Data, parameters.Data)
	if err != nil {
		return err
	}
	rules.TemplateVersion = published.Version
	rules.ParameterVersion = parameters.Version
	next.Workspaces[workspace] = rules
	return nil
}

func installModel(next *Snapshot, name string, value platform.Value) error {
	if value.Deleted {
		delete(next.Models, name)
		return nil
	}
	model, err := ParseModel(name, value.Version, value.Data)
	if err != nil {
		return err
	}
	next.Models[name] = model
	return nil
}

// Since returns the documents with versions above revision, in the order of
// their versions, and the revision that they reach.
func (s *Store) Since(revision int64) platform.Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := platform.Changes{Revision: s.Snapshot().Revision}
	for _, value := range s.values {
		if value.Version > revision {
			changes.Values = append(changes.Values, value)
		}
	}
	sort.Slice(changes.Values, func(i, j int) bool {
		return changes.Values[i].Version < changes.Values[j].Version
	})
	return changes
}
