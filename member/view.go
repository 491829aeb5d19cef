package member

import (
	"time"

	"cardamompoint.example/cardamompoint/platform"
)

// View is an immutable view of the fleet.
type View struct {
	// List is the published list.
	List platform.VMs
	// ReadAt is when the platform last confirmed the list.
	ReadAt time.Time
	// Routers are the live routers of the list and this router.
	Routers []platform.VM

	groups map[string][]platform.VM
	byAddr map[string]platform.VM
	ranked rankings
}

func newView(list platform.VMs, readAt time.Time, self Self) *View {
	view := &View{
		List:   list,
		ReadAt: readAt,
		groups: map[string][]platform.VM{},
		byAddr: map[string]platform.VM{},
	}
	for _, vm := range list.VMs {
		view.byAddr[vm.Address] = vm
		if vm.State == platform.StateLeaving {
			continue
		}
		if vm.Role == platform.RoleRouter {
			view.Routers = append(view.Routers, vm)
			continue
		}
		view.groups[vm.Group] = append(view.groups[vm.Group], vm)
	}
	if _, listed := view.byAddr[self.Address]; !listed {
		view.Routers = append(view.Routers, platform.VM{
			Address:       self.Address,
			Role:          platform.RoleRouter,
			FailureDomain: self.FailureDomain,
			State:         platform.StateLive,
		})
	}
	view.ranked = newRankings(view.groups, view.Routers)
	return view
}

// Group returns the live VMs of a group. The slice must not be changed.
func (v *View) Group(name string) []platform.VM {
	return v.groups[name]
}

// Find returns the VM with the given address.
func (v *View) Find(address string) (platform.VM, bool) {
	vm, ok := v.byAddr[address]
	return vm, ok
}

// Live reports whether the VM is in the list and not leaving.
func (v *View) Live(address string) bool {
	vm, ok := v.byAddr[address]
	return ok && vm.State == platform.StateLive
}
