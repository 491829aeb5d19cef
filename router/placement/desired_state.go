package placement

import (
	"slices"
	"strings"

	"cardamompoint.example/cardamompoint/router/endpoint"
)

// DesiredState is the complete set of models that an engine should have loaded.
type DesiredState struct {
	// Models are the models, sorted by name.
	Models []endpoint.LoadedModel
	// Role is the role that the models require. Empty leaves the engine's role
	// unchanged.
	Role string
}

// Matches reports whether the engine's state is the desired one.
func (d DesiredState) Matches(state endpoint.EngineState) bool {
	if d.Role != "" && d.Role != state.Role {
		return false
	}
	loaded := slices.Clone(state.Models)
	slices.SortFunc(loaded, compareModels)
	return slices.EqualFunc(d.Models, loaded, equalModels)
}

// NextStep returns the set of models to order next, and whether it includes a
// model that must be loaded from the weight store. The set is the desired one
// with at most one such model. Models that are loaded but not desired are left
// out.
func (d DesiredState) NextStep(state endpoint.EngineState) (next []endpoint.LoadedModel, loads bool) {
	for _, model := range d.Models {
		loaded := slices.ContainsFunc(state.Models, func(other endpoint.LoadedModel) bool {
			return other.Model == model.Model && other.Version == model.Version
		})
		if !loaded && loads {
			continue
		}
		loads = loads || !loaded
		next = append(next, model)
	}
	return next, loads
}

func compareModels(a, b endpoint.LoadedModel) int {
	return strings.Compare(a.Model, b.Model)
}

func equalModels(a, b endpoint.LoadedModel) bool {
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}
