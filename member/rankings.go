package member

import (
	"cardamompoint.example/cardamompoint/platform"
	"cardamompoint.example/cardamompoint/rank"
)

// rankings are the prepared sets of a View.
type rankings struct {
	groups  map[string]*rank.Set
	routers *rank.Set
}

func newRankings(groups map[string][]platform.VM, routers []platform.VM) rankings {
	ranked := rankings{groups: make(map[string]*rank.Set, len(groups)), routers: prepare(routers)}
	for name, vms := range groups {
		ranked.groups[name] = prepare(vms)
	}
	return ranked
}

func prepare(vms []platform.VM) *rank.Set {
	nodes := make([]rank.Node, len(vms))
	for i, vm := range vms {
		nodes[i] = rank.NewNode(vm.Address, vm.Capacity)
	}
	return rank.NewSet(nodes)
}

// AppendRanked appends the first limit live VMs of a group for key to dst, best
// first, and returns it. A limit of 0 or less means all.
func (v *View) AppendRanked(dst []platform.VM, group string, key uint64, limit int) []platform.VM {
	set, ok := v.ranked.groups[group]
	if !ok {
		return dst
	}
	return appendTop(dst, v.groups[group], set, key, limit)
}

// AppendRankedRouters appends the first limit routers for key to dst, best
// first, and returns it. A limit of 0 or less means all.
func (v *View) AppendRankedRouters(dst []platform.VM, key uint64, limit int) []platform.VM {
	return appendTop(dst, v.Routers, v.ranked.routers, key, limit)
}

// indexBuffer is the number of indexes that are kept on the stack.
const indexBuffer = 32

func appendTop(dst, vms []platform.VM, set *rank.Set, key uint64, limit int) []platform.VM {
	var buffer [indexBuffer]int
	for _, index := range set.AppendTop(buffer[:0], key, limit) {
		dst = append(dst, vms[index])
	}
	return dst
}
