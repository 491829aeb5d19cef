package placement

import (
	"slices"

	"cardamompoint.example/cardamompoint/rank"
	"cardamompoint.example/cardamompoint/router/config"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/source"
)

// Eligible returns the indexes of the engines that may have the model loaded,
// in the order in which replicas are added: at most Max, or all if Max is 0.
// An engine that leaves moves only its own replica.
func Eligible(model config.Model, engines []source.VM) []int {
	nodes := make([]rank.Node, len(engines))
	for i, vm := range engines {
		nodes[i] = rank.NewNode(vm.Address, vm.Capacity)
	}
	return rank.Top(rank.Key("placement", model.Name), nodes, model.Max)
}

// Replicas returns how many replicas of a model are loaded.
type ReplicaCount func(model config.Model, engines int) int

// Plan returns what each engine of a group should have loaded, by address.
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
			plan[address] = plan[address].with(model)
		}
	}
	return plan
}

// inGroup returns the group's models in the order of their names.
func inGroup(models map[string]config.Model, group string) []config.Model {
	var chosen []config.Model
	for _, model := range models {
		if model.Group == group {
			chosen = append(chosen, model)
		}
	}
	slices.SortFunc(chosen, func(a, b config.Model) int {
		return compareModels(endpoint.LoadedModel{Model: a.Name}, endpoint.LoadedModel{Model: b.Name})
	})
	return chosen
}

func (d DesiredState) with(model config.Model) DesiredState {
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
