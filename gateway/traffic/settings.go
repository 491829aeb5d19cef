package traffic

import "time"

// Settings holds the settings that a gateway process reads at its start.
type Settings struct {
	// NodeName is the name of the VM in logs.
	NodeName string
	// Role is the process's role in the deployment.
	Role string
	// IP is the IP address of the VM.
	IP string
	// FailureDomain and Region are the location of the VM.
	FailureDomain string
	Region        string
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// FrontAddress, ReadyAddress and ControlAddress are the listen addresses for
	// callers, for the readiness probe, and for control requests. An empty address
	// is not served.
	FrontAddress   string
	ReadyAddress   string
	ControlAddress string
	// FirstPeerPort and LastPeerPort are the range of ports for traffic between VMs.
	// The range is the same on all VMs.
	FirstPeerPort int
	LastPeerPort  int
	// Seeds holds control addresses of some VMs. They may be stale.
	Seeds []string
	// StoreAddress is the address of the configuration store.
	StoreAddress string
	// Capacity is the CPU share of the VM, in thousandths of a core.
	Capacity int
	// MemoryBytes is the memory limit of the process in bytes, 0 if there is none.
	MemoryBytes int64
	// FirstStart reports whether the whole fleet starts for the first time, so that no VM
	// can have any state yet.
	FirstStart bool
	// EntryLifetime is how long the entry of an endpoint that has stopped stays in the store; 0
	// if it is not known.
	EntryLifetime time.Duration
	// Bounds holds the limits that the deployment guarantees.
	Bounds Bounds
	// Checksum identifies the content of the settings file.
	Checksum string
}

// Bounds holds the limits that a deployment guarantees.
type Bounds struct {
	// KeyLease is how long a key may be accepted after the configuration was last confirmed
	// to be current.
	KeyLease time.Duration
	// StrictRevoke reports whether keys must be rejected after KeyLease.
	StrictRevoke bool
	// MaxConfigDelay bounds the delay until a new configuration is in force.
	MaxConfigDelay time.Duration
	// MaxDrainDelay bounds the delay after which a draining endpoint receives no new
	// requests.
	MaxDrainDelay time.Duration
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod time.Duration
	// RetryRatio and RetrySlack bound the retries to one service within a RetryWindow, over
	// all VMs: a ratio of the requests and a constant number on top.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// LoadMultiple bounds the load of one endpoint, as a multiple of the mean load of its
	// service.
	LoadMultiple float64
	// WarmUpExcess and WarmUpSlack bound the requests of all VMs to an endpoint within a second while it
	// is cold: a multiple of its Service.WarmUpRate and a constant number on top.
	WarmUpExcess float64
	WarmUpSlack  float64
	// MaxEvacuationDelay bounds the delay after which an evacuated failure domain receives no new
	// requests; 0 if failure domains are not evacuated.
	MaxEvacuationDelay time.Duration
}
