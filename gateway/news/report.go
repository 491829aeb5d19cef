package news

// Report is what one VM tells the others.
type Report struct {
	// Address is the sender's IP number; it identifies the VM.
	Address string
	// Incarnation is new with each start of the process.
	Incarnation int64
	// Number rises with each report of an incarnation.
	Sequence int64
	// FailureDomain is where the sender is.
	FailureDomain string
	// Capacity is the sender's part of a processor core, in thousandths.
	Capacity int
	// Leaving tells that the sender shuts down.
	Leaving bool
	// Learned tells that the sender knows where prompt parts are.
	HasPartLocations bool
	// Known is the number of other VMs that the sender has heard of.
	KnownVMs int
	// Greeting tells that only Pulses are to be taken from the report.
	MembershipOnly bool
	// Version is the configuration in force at the sender.
	ConfigVersion int64
	// Newest is the revision of the newest change that the sender has applied.
	NewestRevision int64
	// StoreLost tells that the store does not serve the sender.
	StoreLost bool
	// AgeMS is how old the sender's knowledge may be, in milliseconds; -1 if it
	// has none.
	AgeMS int64
	// Members are the addresses of some VMs that the sender hears.
	Members []string
	// Pulses tell when the sender last heard of others, in large fleets.
	Heartbeats []Heartbeat
	// Told are the loads that endpoints told lately, in large fleets.
	EndpointLoads []EndpointLoad
	// Work is the sender's work in progress, by endpoint.
	Work []EndpointWork
	// Parts tell where the sender has sent prompt parts lately.
	PartLocations []PartLocation
	// Faults are endpoints that fail requests of the sender.
	FailureRates []FailureRate
}

// Pulse tells when a VM was last heard of, directly or through others.
type Heartbeat struct {
	Address     string
	Incarnation int64
	// AgeMS is how long ago that was, in milliseconds.
	AgeMS int64
	// FailureDomain is where the VM is.
	FailureDomain string
	// Capacity is the VM's part of a processor core, in thousandths.
	Capacity         int
	HasPartLocations bool
	// Serves tells that the VM has knowledge and that the store serves it.
	CanLead bool
}

// Told is an endpoint's own word about its load.
type EndpointLoad struct {
	Endpoint string
	// Requests are those in progress and waiting there.
	Requests int
	// AgeMS is how long ago it said so, in milliseconds.
	AgeMS int64
}

// Work is the work in progress at one endpoint.
type EndpointWork struct {
	Endpoint string
	Requests int
	// Reading is the number of prompt tokens that the endpoint has still to read.
	PrefillTokens int
}

// PartPlace tells that an endpoint holds a prompt part.
type PartLocation struct {
	// Part is the part's hash.
	Hash     uint64 `json:"p"`
	Endpoint string `json:"e"`
}

// Fault tells how an endpoint fails.
type FailureRate struct {
	Endpoint string
	// Percent is the part of the last requests that failed.
	Percent int
}
