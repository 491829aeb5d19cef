package placement

import (
	"slices"
	"strings"

	"cardamompoint.example/cardamompoint/router/endpoint"
)

// Desired is the whole set that an engine should have loaded.
type DesiredState struct {
	// Models are the models, in the order of their names.
	Models []endpoint.LoadedModel
	// Role is the role that the models ask for; empty leaves the engine's own.
	Role string
}

// Equal reports whether the engine's state is the desired one.
func (d DesiredState) Matches(state endpoint.EngineState) bool {
	if d.Role != "" && d.Role != state.Role {
		return false
	}
	loaded := slices.Clone(state.Models)
	slices.SortFunc(loaded, compareModels)
	return slices.EqualFunc(d.Models, loaded, equalModels)
}

// Step returns the set to order next: the desired one with at most one model
// that must be read from the weight store, and whether there is such a model.
// What is loaded and not desired is dropped.
func (d DesiredState) NextStep(state endpoint.EngineState) (next []endpoint.LoadedModel, reads bool) {
	for _, model := range d.Models {
		loaded := slices.ContainsFunc(state.Models, func(other endpoint.LoadedModel) bool {
			return other.Model == model.Model && other.Version == model.Version
		})
		if !loaded && reads {
			continue
		}
		reads = reads || !loaded
		next = append(next, model)
	}
	return next, reads
}

func compareModels(a, b endpoint.LoadedModel) int {
	return strings.Compare(a.Model, b.Model)
}

func equalModels(a, b endpoint.LoadedModel) bool {
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}
