package member

import (
	"time"

	"cardamompoint.example/cardamompoint/router/source"
)

// View is an immutable view of the fleet.
type View struct {
	// List is the published list of VMs.
	List source.VMList
	// ConfirmedAt is when the platform last confirmed the list.
	ConfirmedAt time.Time
	// Routers are the listed routers that are not leaving, and this router if it is
	// not listed.
	Routers []source.VM

	groups    map[string][]source.VM
	byAddress map[string]source.VM
	pools     viewPools
}

// newView returns the view of a list that the platform confirmed at confirmedAt.
func newView(list source.VMList, confirmedAt time.Time, self Identity) *View {
	view := &View{
		List:        list,
		ConfirmedAt: confirmedAt,
		groups:      map[string][]source.VM{},
		byAddress:   map[string]source.VM{},
	}
	for _, vm := range list.VMs {
		view.byAddress[vm.Address] = vm
		if vm.State == source.StateLeaving {
			continue
		}
		if vm.Role == source.RoleRouter {
			view.Routers = append(view.Routers, vm)
			continue
		}
		view.groups[vm.Group] = append(view.groups[vm.Group], vm)
	}
	if _, listed := view.byAddress[self.Address]; !listed {
		view.Routers = append(view.Routers, source.VM{
			Address:       self.Address,
			Role:          source.RoleRouter,
			FailureDomain: self.FailureDomain,
			State:         source.StateLive,
		})
	}
	view.pools = newViewPools(view.groups, view.Routers)
	return view
}

// Group returns the VMs of a group that are not leaving. The caller must not modify
// the slice.
func (v *View) Group(name string) []source.VM {
	return v.groups[name]
}

// Find returns the listed VM with the given address, and whether there is one.
func (v *View) Find(address string) (source.VM, bool) {
	vm, ok := v.byAddress[address]
	return vm, ok
}

// Live reports whether the VM is listed as live.
func (v *View) Live(address string) bool {
	vm, ok := v.byAddress[address]
	return ok && vm.State == source.StateLive
}
