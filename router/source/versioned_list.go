package source

import (
	"slices"
	"strings"
)

// maxRemoved bounds the removals that a VersionedList keeps. A reader that is
// further behind gets the full list.
const maxRemoved = 4096

// VersionedList is the newest version of the list of VMs, with the version in which
// each VM last changed, so that it can return the changes since earlier versions.
// It is not safe for concurrent use.
type VersionedList struct {
	version int64
	// oldestBase is the lowest version for which Since can return changes.
	oldestBase int64
	vms        map[string]versionedVM
	removed    []removedVM
}

// versionedVM is a VM with the list version that last changed it.
type versionedVM struct {
	vm      VM
	version int64
}

// removedVM is the address of a removed VM with the list version that removed it.
type removedVM struct {
	address string
	version int64
}

// NewVersionedList returns a VersionedList of version 0 without VMs.
func NewVersionedList() *VersionedList {
	return &VersionedList{vms: map[string]versionedVM{}}
}

// Version returns the list's version.
func (l *VersionedList) Version() int64 {
	return l.version
}

// Full returns the full list, sorted by address.
func (l *VersionedList) Full() VMList {
	full := VMList{Version: l.version}
	for _, entry := range l.vms {
		full.VMs = append(full.VMs, entry.vm)
	}
	sortVMs(full.VMs)
	return full
}

// Apply applies a newer full list, or changes based on the current version or an
// earlier one. It reports whether it did.
func (l *VersionedList) Apply(vms VMList) bool {
	if vms.Version <= l.version || vms.After > l.version {
		return false
	}
	if vms.After == 0 {
		// A full list does not show what was added and removed in between.
		clear(l.vms)
		l.removed = nil
		l.oldestBase = vms.Version
	}
	for _, vm := range vms.VMs {
		l.vms[vm.Address] = versionedVM{vm, vms.Version}
	}
	for _, address := range vms.Removed {
		l.remove(address, vms.Version)
	}
	l.version = vms.Version
	return true
}

// remove records a removed VM, even an unknown one: a reader that is further behind
// may know it.
func (l *VersionedList) remove(address string, version int64) {
	delete(l.vms, address)
	l.removed = append(l.removed, removedVM{address, version})
	if len(l.removed) > maxRemoved {
		l.oldestBase = l.removed[0].version
		l.removed = l.removed[1:]
	}
}

// Since returns the changes after a version, or the full list if the changes are no
// longer known. Without anything newer, the answer has no VMs.
func (l *VersionedList) Since(after int64) VMList {
	if after >= l.version {
		return VMList{Version: l.version, After: after}
	}
	if after < l.oldestBase || after <= 0 {
		return l.Full()
	}
	changes := VMList{Version: l.version, After: after}
	for _, entry := range l.vms {
		if entry.version > after {
			changes.VMs = append(changes.VMs, entry.vm)
		}
	}
	sortVMs(changes.VMs)
	for _, entry := range l.removed {
		if _, listed := l.vms[entry.address]; !listed && entry.version > after {
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
