package placement

import (
	"slices"

	"cardamompoint.example/cardamompoint/rank"
	"cardamompoint.example/cardamompoint/router/config"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/source"
)

// Eligible returns the indexes of the engines that may have the model loaded,
// in the order in which replicas are added: at most model.Max, or all engines
// if that is 0. When an engine leaves, only its own replica moves.
func Eligible(model config.Model, engines []source.VM) []int {
	nodes := make([]rank.Node, len(engines))
	for i, vm := range engines {
		nodes[i] = rank.NewNode(vm.Address, vm.Capacity)
	}
	return rank.Top(rank.Key("placement", model.Name), nodes, model.Max)
}

// ReplicaCount returns the number of replicas of a model to load on a group with
// the given number of engines.
type ReplicaCount func(model config.Model, engines int) int

// Plan returns the desired state of each engine of a group, by address.
func Plan(models map[string]config.Model, group string, engines []source.VM, replicas ReplicaCount) map[string]DesiredState {
	plan := make(map[string]DesiredState, len(engines))
	for _, vm := range engines {
		plan[vm.Address] = DesiredState{}
	}
	for _, model := range inGroup(models, group) {
		order := Eligible(model, engines)
		count := min(replicas(model, len(engines)), len(order))
		for _, index := range order[:count] {
			address := engines[index].Address
			plan[address] = plan[address].addModel(model)
		}
	}
	return plan
}

// inGroup returns the group's models, sorted by name.
func inGroup(models map[string]config.Model, group string) []config.Model {
	var selected []config.Model
	for _, model := range models {
		if model.Group == group {
			selected = append(selected, model)
		}
	}
	slices.SortFunc(selected, func(a, b config.Model) int {
		return compareModels(endpoint.LoadedModel{Model: a.Name}, endpoint.LoadedModel{Model: b.Name})
	})
	return selected
}

// addModel returns d with the model added. The role of the first model that has
// one is kept.
func (d DesiredState) addModel(model config.Model) DesiredState {
	adapters := slices.Sorted(slices.Values(model.Adapters))
	d.Models = append(slices.Clone(d.Models), endpoint.LoadedModel{
		Model:    model.Name,
		Version:  model.Version,
		Adapters: adapters,
	})
	if d.Role == "" {
		d.Role = model.Role
	}
	return d
}
