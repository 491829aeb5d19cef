package traffic

import "time"

// Settings are what a gateway process is told at its start.
type Settings struct {
	// Node is the VM's name in logs.
	Node string
	// Role is the process's role in the deployment.
	Role string
	// IP is the VM's own IP number.
	IP string
	// FailureDomain and Region are where the VM is.
	FailureDomain string
	Region        string
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// FrontAddress, ReadyAddress and ControlAddress are the addresses to listen
	// on: for callers, for the readiness probe, and for other VMs. An empty one
	// is not served.
	FrontAddress   string
	ReadyAddress   string
	ControlAddress string
	// FirstPeerPort and LastPeerPort bound the ports between VMs. They are the
	// same on all VMs.
	FirstPeerPort int
	LastPeerPort  int
	// Seeds are control addresses of some VMs; they may be stale.
	Seeds []string
	// StoreAddress is the address of the configuration store.
	StoreAddress string
	// Capacity is the VM's part of a processor core, in thousandths.
	Capacity int
	// MemoryBytes is the memory limit of the process, 0 if there is none.
	MemoryBytes int64
	// FirstStart tells that the whole fleet starts for the first time.
	FirstStart bool
	// Bounds are the agreed limits.
	Bounds Bounds
	// Checksum identifies the file that was read.
	Checksum string
}

// Bounds are the agreed limits of a deployment.
type Bounds struct {
	// KeyLease is how long after a confirmed read of the configuration a key may
	// still be accepted.
	KeyLease time.Duration
	// StrictRevoke tells that a key must not be accepted after KeyLease.
	StrictRevoke bool
	// ConfigWithin is how fast a new configuration must be in force.
	ConfigWithin time.Duration
	// DrainWithin is how long after it is known that an endpoint leaves new requests
	// may still reach it.
	DrainWithin time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// RetryRatio and RetrySlack bound the sends beyond the first one to one
	// service in a RetryWindow, over all VMs.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// LoadMultiple bounds the requests at one endpoint, as a multiple of the mean.
	LoadMultiple float64
}
