package gossip

import "cardamompoint.example/cardamompoint/gateway/traffic"

// Report is the datagram that a VM sends to other VMs. The order of encoding is in
// codec.go.
type Report struct {
	// Address is the sender's IP address; it identifies the VM.
	Address string
	// Incarnation identifies a run of the sender's process; it is its start time.
	Incarnation int64
	// Sequence increases with each report of an incarnation.
	Sequence int64
	// FailureDomain is the sender's failure domain.
	FailureDomain string
	// Capacity is the sender's share of a CPU core, in thousandths of a core.
	Capacity int
	// Leaving reports whether the sender is shutting down.
	Leaving bool
	// HasPartLocations reports whether the sender knows which endpoints hold which
	// prompt parts.
	HasPartLocations bool
	// KnownVMs is the number of other VMs in the sender's Table.
	KnownVMs int
	// MembershipOnly reports whether receivers must ignore all but Heartbeats. Such a
	// report is the reply to a report of a VM that knows few others.
	MembershipOnly bool
	// ConfigVersion is the version of the configuration that the sender applies.
	ConfigVersion int64
	// Newest is the position of the newest change that the sender has applied.
	Newest traffic.Position
	// StoreLost reports whether the sender's calls to the store fail.
	StoreLost bool
	// AgeMS is the maximum age of the sender's knowledge of the store, in
	// milliseconds; -1 if it has none.
	AgeMS int64
	// Members are the addresses of some VMs that the sender knows. Small fleets only.
	Members []string
	// Heartbeats relay when the sender last heard of other VMs. Large fleets only.
	Heartbeats []Heartbeat
	// EndpointLoads relay the loads that endpoints reported recently. Large fleets only.
	EndpointLoads []EndpointLoad
	// Work is the sender's work in progress at each endpoint.
	Work []EndpointWork
	// PartLocations are the endpoints that the sender recently sent prompt parts to.
	PartLocations []PartLocation
	// Outcomes are those of the sender's recent requests to each endpoint.
	Outcomes []EndpointOutcomes
	// Crashes are crashes of endpoints under requests of any VM, AnsweredParts the prompt
	// parts of such requests that were answered since.
	Crashes       []Crash
	AnsweredParts []AnsweredPart
	// ServiceCrashes count the sender's recent requests to services whose endpoints crashed.
	ServiceCrashes []ServiceCrashes
	// Limits are limits that endpoints named to any VM, Demands the sender's demand for the
	// services of such endpoints.
	Limits  []EndpointLimit
	Demands []ServiceDemand
	// IdleResets are resets of idle connections by endpoints, as any VM saw them.
	IdleResets []IdleReset
	// Contentions are statements of contended hosts, and of those that are no longer contended, as any VM
	// received them.
	Contentions []EndpointContention
}

// Heartbeat reports when a VM was last heard from, directly or through other VMs.
type Heartbeat struct {
	Address     string
	Incarnation int64
	// AgeMS is the time since then, in milliseconds.
	AgeMS int64
	// FailureDomain is the VM's failure domain.
	FailureDomain string
	// Capacity is the VM's share of a CPU core, in thousandths of a core.
	Capacity int
	// HasPartLocations reports whether the VM knows which endpoints hold which prompt
	// parts.
	HasPartLocations bool
	// CanLead reports whether the VM has knowledge of the store and reaches it.
	CanLead bool
}

// EndpointLoad is the load that an endpoint reported.
type EndpointLoad struct {
	Endpoint string
	// Requests is the number of requests in progress and queued at the endpoint.
	Requests int
	// AgeMS is the age of the report, in milliseconds.
	AgeMS int64
}

// EndpointWork is the work that one VM has in progress at an endpoint.
type EndpointWork struct {
	Endpoint string
	Requests int
	// PrefillTokens is the number of prompt tokens that the endpoint has yet to
	// process.
	PrefillTokens int
}

// PartLocation reports that an endpoint holds a prompt part in its cache.
type PartLocation struct {
	// Hash identifies the prompt part.
	Hash     uint64 `json:"p"`
	Endpoint string `json:"e"`
}
