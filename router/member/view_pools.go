package member

import "cardamompoint.example/cardamompoint/router/source"

// viewPools holds the pools of a View: one for each group and one for the routers.
type viewPools struct {
	groups  map[string]*Pool
	routers *Pool
}

func newViewPools(groups map[string][]source.VM, routers []source.VM) viewPools {
	ranked := viewPools{groups: make(map[string]*Pool, len(groups)), routers: NewPool(routers)}
	for name, vms := range groups {
		ranked.groups[name] = NewPool(vms)
	}
	return ranked
}

// emptyPool is returned for groups without live VMs.
var emptyPool = NewPool(nil)

// Pool returns the pool of the live VMs of a group.
func (v *View) Pool(group string) *Pool {
	pool, ok := v.pools.groups[group]
	if !ok {
		return emptyPool
	}
	return pool
}

// RouterPool returns the pool of the live routers.
func (v *View) RouterPool() *Pool {
	return v.pools.routers
}
