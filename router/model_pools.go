package router

import (
	"sync"

	"cardamompoint.example/cardamompoint/router/config"
	"cardamompoint.example/cardamompoint/router/member"
	"cardamompoint.example/cardamompoint/router/placement"
	"cardamompoint.example/cardamompoint/router/source"
)

// modelPools caches, for each model, the pool of the engines that should have it
// loaded. It is safe for concurrent use.
type modelPools struct {
	mu      sync.Mutex
	byModel map[string]modelPool
}

// modelPool is the pool of a model for one version of the list of VMs and one
// number of replicas.
type modelPool struct {
	version  int64
	group    string
	replicas int
	pool     *member.Pool
}

func newModelPools() *modelPools {
	return &modelPools{byModel: map[string]modelPool{}}
}

// find returns the pool of the first replicas engines in the model's order of
// placement. 0 replicas means all engines of the group.
func (p *modelPools) find(view *member.View, model config.Model, replicas int) *member.Pool {
	engines := view.Group(model.Group)
	if replicas == 0 || replicas >= len(engines) {
		return view.Pool(model.Group)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byModel[model.Name]
	if known.version == view.List.Version && known.group == model.Group && known.replicas == replicas {
		return known.pool
	}
	pool := member.NewPool(chooseReplicas(model, engines, replicas))
	p.byModel[model.Name] = modelPool{view.List.Version, model.Group, replicas, pool}
	return pool
}

// chooseReplicas returns the first replicas engines in the model's order of
// placement.
func chooseReplicas(model config.Model, engines []source.VM, replicas int) []source.VM {
	order := placement.Eligible(model, engines)
	chosen := make([]source.VM, 0, replicas)
	for _, index := range order[:min(replicas, len(order))] {
		chosen = append(chosen, engines[index])
	}
	return chosen
}

// poolOf returns the engines that should have the model loaded, as far as this
// router knows its load. Before the first placement plan, these are all engines
// that may have it.
func (r *Router) poolOf(view *member.View, model config.Model) *member.Pool {
	replicas, known := r.placer.scaler.CurrentReplicas(model.Name)
	if !known {
		replicas = model.Max
	}
	return r.modelPools.find(view, model, replicas)
}
