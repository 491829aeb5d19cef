package placement

import (
	"sync"

	"cardamompoint.example/cardamompoint/router/config"
	"cardamompoint.example/cardamompoint/router/member"
	"cardamompoint.example/cardamompoint/router/source"
)

// Pools caches, for each model, the pool of the engines that should have it
// loaded. It is safe for concurrent use.
type Pools struct {
	mu      sync.Mutex
	byModel map[string]modelPool
}

// NewPools returns an empty Pools.
func NewPools() *Pools {
	return &Pools{byModel: map[string]modelPool{}}
}

// Find returns the pool of the first replicas engines in the model's order of
// placement. 0 replicas means all engines of the group.
func (p *Pools) Find(view *member.View, model config.Model, replicas int) *member.Pool {
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
	order := Eligible(model, engines)
	chosen := make([]source.VM, 0, replicas)
	for _, index := range order[:min(replicas, len(order))] {
		chosen = append(chosen, engines[index])
	}
	return chosen
}
