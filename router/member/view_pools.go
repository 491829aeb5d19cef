package member

import "cardamompoint.example/cardamompoint/router/source"

// rankings are the prepared pools of a View.
type rankings struct {
	groups  map[string]*Pool
	routers *Pool
}

func newRankings(groups map[string][]source.VM, routers []source.VM) rankings {
	ranked := rankings{groups: make(map[string]*Pool, len(groups)), routers: NewPool(routers)}
	for name, vms := range groups {
		ranked.groups[name] = NewPool(vms)
	}
	return ranked
}

// noPool is the pool of a group without live VMs.
var noPool = NewPool(nil)

// Pool returns the live VMs of a group, prepared for ranking.
func (v *View) Pool(group string) *Pool {
	pool, ok := v.ranked.groups[group]
	if !ok {
		return noPool
	}
	return pool
}

// RouterPool returns the live routers, prepared for ranking.
func (v *View) RouterPool() *Pool {
	return v.ranked.routers
}
