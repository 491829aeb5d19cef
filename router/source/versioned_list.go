package source

import (
	"slices"
	"strings"
)

// maxGone bounds the dropped addresses that a List remembers. A reader that is
// further behind gets the whole list.
const maxGone = 4096

// List is the newest version of the list of VMs with the version at which each
// VM changed last. It is not safe for concurrent use.
type VersionedList struct {
	version int64
	// floor is the lowest version from which changes can be told.
	floor int64
	vms   map[string]listed
	gone  []dropped
}

type listed struct {
	vm      VM
	version int64
}

type dropped struct {
	address string
	version int64
}

// NewList returns a List of version 0, which has no VMs.
func NewVersionedList() *VersionedList {
	return &VersionedList{vms: map[string]listed{}}
}

// Version returns the list's version.
func (l *VersionedList) Version() int64 {
	return l.version
}

// Whole returns the whole list in the order of the addresses.
func (l *VersionedList) Full() VMList {
	whole := VMList{Version: l.version}
	for _, entry := range l.vms {
		whole.VMs = append(whole.VMs, entry.vm)
	}
	sortVMs(whole.VMs)
	return whole
}

// Apply takes in a newer whole list, or changes that build on this version or
// an earlier one. It reports whether it could.
func (l *VersionedList) Apply(vms VMList) bool {
	if vms.Version <= l.version || vms.After > l.version {
		return false
	}
	if vms.After == 0 {
		// What came and went in between can't be told from a whole list.
		clear(l.vms)
		l.gone = nil
		l.floor = vms.Version
	}
	for _, vm := range vms.VMs {
		l.vms[vm.Address] = listed{vm, vms.Version}
	}
	for _, address := range vms.Removed {
		l.drop(address, vms.Version)
	}
	l.version = vms.Version
	return true
}

// drop records a dropped VM, also an unknown one: a reader that is further
// behind may know it.
func (l *VersionedList) drop(address string, version int64) {
	delete(l.vms, address)
	l.gone = append(l.gone, dropped{address, version})
	if len(l.gone) > maxGone {
		l.floor = l.gone[0].version
		l.gone = l.gone[1:]
	}
}

// Since returns the changes after a version, or the whole list if they can't
// be told. With nothing newer the answer has no VMs.
func (l *VersionedList) Since(after int64) VMList {
	if after >= l.version {
		return VMList{Version: l.version, After: after}
	}
	if after < l.floor || after <= 0 {
		return l.Full()
	}
	changes := VMList{Version: l.version, After: after}
	for _, entry := range l.vms {
		if entry.version > after {
			changes.VMs = append(changes.VMs, entry.vm)
		}
	}
	sortVMs(changes.VMs)
	for _, entry := range l.gone {
		if _, back := l.vms[entry.address]; !back && entry.version > after {
			changes.Removed = append(changes.Removed, entry.address)
		}
	}
	slices.Sort(changes.Removed)
	changes.Removed = slices.Compact(changes.Removed)
	return changes
}

func sortVMs(vms []VM) {
	slices.SortFunc(vms, func(a, b VM) int { return strings.Compare(a.Address, b.Address) })
}
