package source

// Role is what a VM does.
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

// VM is one entry of the published list.
type VM struct {
	// Address is the VM's IP number and port.
	Address string `json:"address"`
	// Role is what the VM does.
	Role Role `json:"role"`
	// Group names the engines' pool or the plain service.
	Group string `json:"group,omitempty"`
	// FailureDomain is what fails together.
	FailureDomain string `json:"failure_domain"`
	// Region is the region; empty means the only one.
	Region string `json:"region,omitempty"`
	// State is live or leaving.
	State State `json:"state"`
	// Capacity weighs the VM against others of its group. 0 means 1.
	Capacity float64 `json:"capacity,omitempty"`
}

// VMs is one version of the published list, whole or as what changed since an
// earlier version.
type VMList struct {
	// Version rises with each change of the list.
	Version int64 `json:"version"`
	// After is the version that the changes build on. 0 means the whole list.
	After int64 `json:"after,omitempty"`
	// VMs are the live and the leaving VMs; of changes, those that were added
	// or changed.
	VMs []VM `json:"vms,omitempty"`
	// Gone are the addresses that were dropped since After.
	Removed []string `json:"gone,omitempty"`
}
