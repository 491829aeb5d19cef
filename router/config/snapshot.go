package config

import (
	"maps"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/template"
)

// Snapshot is the configuration in force at one moment. It is immutable; a request
// uses the same Snapshot from start to end.
type Snapshot struct {
	// Revision is the platform revision up to which the snapshot is complete.
	Revision int64
	// Workspaces are the rules in force, by workspace.
	Workspaces map[string]*template.Rules
	// Models are the declared models, by name.
	Models map[string]Model
	// Refused holds the errors of refused documents, by key.
	Refused map[string]*code.Error
}

func newSnapshot() *Snapshot {
	return &Snapshot{
		Workspaces: map[string]*template.Rules{},
		Models:     map[string]Model{},
		Refused:    map[string]*code.Error{},
	}
}

// clone returns a copy that can be modified before it is published.
func (s *Snapshot) clone() *Snapshot {
	return &Snapshot{
		Revision:   s.Revision,
		Workspaces: maps.Clone(s.Workspaces),
		Models:     maps.Clone(s.Models),
		Refused:    maps.Clone(s.Refused),
	}
}

// Rules returns the rules of a workspace, or an UnknownWorkspace error.
func (s *Snapshot) Rules(workspace string) (*template.Rules, error) {
	rules, ok := s.Workspaces[workspace]
	if !ok {
		return nil, code.New(code.UnknownWorkspace, "the workspace %q has no template in force", workspace)
	}
	return rules, nil
}
