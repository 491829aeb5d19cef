package member

import (
	"time"

	"cardamompoint.example/cardamompoint/router/source"
)

// View is an immutable view of the fleet.
type View struct {
	// List is the published list.
	List source.VMs
	// ReadAt is when the platform last confirmed the list.
	ConfirmedAt time.Time
	// Routers are the live routers of the list and this router.
	Routers []source.VM

	groups map[string][]source.VM
	byAddr map[string]source.VM
	ranked rankings
}

func newView(list source.VMs, readAt time.Time, self Identity) *View {
	view := &View{
		List:   list,
		ConfirmedAt: readAt,
		groups: map[string][]source.VM{},
		byAddr: map[string]source.VM{},
	}
	for _, vm := range list.VMs {
		view.byAddr[vm.Address] = vm
		if vm.State == source.StateLeaving {
			continue
		}
		if vm.Role == source.RoleRouter {
			view.Routers = append(view.Routers, vm)
			continue
		}
		view.groups[vm.Group] = append(view.groups[vm.Group], vm)
	}
	if _, listed := view.byAddr[self.Address]; !listed {
		view.Routers = append(view.Routers, source.VM{
			Address:       self.Address,
			Role:          source.RoleRouter,
			FailureDomain: self.FailureDomain,
			State:         source.StateLive,
		})
	}
	view.ranked = newRankings(view.groups, view.Routers)
	return view
}

// Group returns the live VMs of a group. The slice must not be changed.
func (v *View) Group(name string) []source.VM {
	return v.groups[name]
}

// Find returns the VM with the given address.
func (v *View) Find(address string) (source.VM, bool) {
	vm, ok := v.byAddr[address]
	return vm, ok
}

// Live reports whether the VM is in the list and not leaving.
func (v *View) Live(address string) bool {
	vm, ok := v.byAddr[address]
	return ok && vm.State == source.StateLive
}
