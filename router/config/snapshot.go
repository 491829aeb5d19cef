package config

import (
	"maps"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/template"
)

// Snapshot is everything in force at one moment. It is immutable; a request
// uses one Snapshot from its start to its end.
type Snapshot struct {
	// Revision is the highest platform revision that the snapshot includes.
	Revision int64
	// Workspaces are the rules in force.
	Workspaces map[string]*template.Rules
	// Models are the declared models.
	Models map[string]Model
	// Refused are the faults of documents that were not accepted, by key.
	Refused map[string]*code.Error
}

func newSnapshot() *Snapshot {
	return &Snapshot{
		Workspaces: map[string]*template.Rules{},
		Models:     map[string]Model{},
		Refused:    map[string]*code.Error{},
	}
}

func (s *Snapshot) clone() *Snapshot {
	return &Snapshot{
		Revision:   s.Revision,
		Workspaces: maps.Clone(s.Workspaces),
		Models:     maps.Clone(s.Models),
		Refused:    maps.Clone(s.Refused),
	}
}

// Rules returns the rules of workspace, or an UnknownWorkspace error.
func (s *Snapshot) Rules(workspace string) (*template.Rules, error) {
	rules, ok := s.Workspaces[workspace]
	if !ok {
		return nil, code.New(code.UnknownWorkspace, "the workspace %q has no template in force", workspace)
	}
	return rules, nil
}
