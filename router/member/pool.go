package member

import (
	"cardamompoint.example/cardamompoint/rank"
	"cardamompoint.example/cardamompoint/router/source"
)

// Pool is a set of VMs that is prepared for ranking. It is immutable.
type Pool struct {
	vms []source.VM
	set *rank.Set
}

// NewPool prepares vms, which must not be changed afterwards.
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

// indexBuffer is the number of indexes that are kept on the stack.
const indexBuffer = 32

// AppendRanked appends the first limit VMs for key to dst, best first, and
// returns it. A limit of 0 or less means all.
func (p *Pool) AppendRanked(dst []source.VM, key uint64, limit int) []source.VM {
	var buffer [indexBuffer]int
	for _, index := range p.set.AppendTop(buffer[:0], key, limit) {
		dst = append(dst, p.vms[index])
	}
	return dst
}
