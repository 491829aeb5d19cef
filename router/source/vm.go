package source

import (
	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/hostaddr"
)

// Role is the function of a VM.
type Role string

// The roles of VMs.
const (
	RoleRouter  Role = "router"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// State is the state of a VM in the published list.
type State string

// The states of VMs.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is an entry of the published list.
type VM struct {
	// Address is the VM's IP address and port.
	Address string `json:"address"`
	// Role is the VM's function.
	Role Role `json:"role"`
	// Group is the name of the engines' group or of the plain service.
	Group string `json:"group,omitempty"`
	// FailureDomain is the VM's failure domain: the VMs in it can fail together.
	FailureDomain string `json:"failure_domain"`
	// Region is the VM's region; empty means the only region.
	Region string `json:"region,omitempty"`
	// State is live or leaving.
	State State `json:"state"`
	// Capacity is the VM's weight within its group. 0 means 1.
	Capacity float64 `json:"capacity,omitempty"`
}

// VMList is a version of the published list, either complete or as the changes
// since an earlier version.
type VMList struct {
	// Version rises with each change of the list.
	Version int64 `json:"version"`
	// After is the version on which the changes are based. 0 means that the list is
	// complete.
	After int64 `json:"after,omitempty"`
	// VMs are the live and leaving VMs; in changes, those that were added or
	// modified.
	VMs []VM `json:"vms,omitempty"`
	// Removed are the addresses that were removed since After.
	Removed []string `json:"gone,omitempty"`
}

// maxCapacity bounds the weight of a VM within its group.
const maxCapacity = 1e6

// Check returns the reason why the entry names no VM to use, or nil. Errors carry
// code.InvalidDocument and the path of the invalid field.
func (v *VM) Check() error {
	if !hostaddr.IsValid(v.Address) {
		return code.New(code.InvalidDocument, "%.50q is not the address of one host", v.Address).At("$.address")
	}
	if v.Role != RoleRouter && v.Role != RoleEngine && v.Role != RoleService {
		return code.New(code.InvalidDocument, "the role %.50q is not known", v.Role).At("$.role")
	}
	if v.State != StateLive && v.State != StateLeaving {
		return code.New(code.InvalidDocument, "the state %.50q is not known", v.State).At("$.state")
	}
	if v.Capacity < 0 || v.Capacity > maxCapacity {
		return code.New(code.InvalidDocument, "the capacity %g is out of range", v.Capacity).At("$.capacity")
	}
	return nil
}
