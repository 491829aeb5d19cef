package member

import (
	"cardamompoint.example/cardamompoint/rank"
	"cardamompoint.example/cardamompoint/router/source"
)

// Pool is an immutable set of VMs that is prepared for rendezvous ranking.
type Pool struct {
	vms []source.VM
	set *rank.Set
}

// NewPool returns a Pool of vms. The caller must not modify vms afterwards.
func NewPool(vms []source.VM) *Pool {
	nodes := make([]rank.Node, len(vms))
	for i, vm := range vms {
		nodes[i] = rank.NewNode(vm.Address, vm.Capacity)
	}
	return &Pool{vms: vms, set: rank.NewSet(nodes)}
}

// Len returns the number of VMs.
func (p *Pool) Len() int {
	return len(p.vms)
}

// indexBuffer is the number of ranked indexes that AppendRanked keeps on the stack.
const indexBuffer = 32

// AppendRanked appends the limit highest-ranked VMs for key to dst, best first, and
// returns the extended slice. A limit of 0 or less means all VMs.
func (p *Pool) AppendRanked(dst []source.VM, key uint64, limit int) []source.VM {
	var buffer [indexBuffer]int
	for _, index := range p.set.AppendTop(buffer[:0], key, limit) {
		dst = append(dst, p.vms[index])
	}
	return dst
}
