package news

// Report is what one VM tells the others.
type Report struct {
	// Address is the sender's IP number; it identifies the VM.
	Address string `json:"a"`
	// Incarnation is new with each start of the process.
	Incarnation int64 `json:"i"`
	// Number rises with each report of an incarnation.
	Number int64 `json:"n"`
	// FailureDomain is where the sender is.
	FailureDomain string `json:"d"`
	// Capacity is the sender's part of a processor core, in thousandths.
	Capacity int `json:"c,omitempty"`
	// Leaving tells that the sender shuts down.
	Leaving bool `json:"l,omitempty"`
	// Learned tells that the sender knows where prompt parts are.
	Learned bool `json:"k,omitempty"`
	// Greeting tells that only Pulses are to be taken from the report.
	Greeting bool `json:"h,omitempty"`
	// Version is the configuration in force at the sender.
	Version int64 `json:"v"`
	// Newest is the revision of the newest change that the sender has applied.
	Newest int64 `json:"r"`
	// StoreLost tells that the store does not serve the sender.
	StoreLost bool `json:"o,omitempty"`
	// AgeMS is how old the sender's knowledge may be, in milliseconds; -1 if it
	// has none.
	AgeMS int64 `json:"g"`
	// Members are the addresses of some VMs that the sender hears.
	Members []string `json:"m,omitempty"`
	// Pulses tell when the sender last heard of others, in large fleets.
	Pulses []Pulse `json:"u,omitempty"`
	// Told are the loads that endpoints told lately, in large fleets.
	Told []Told `json:"e,omitempty"`
	// Work is the sender's work in progress, by endpoint.
	Work []Work `json:"w,omitempty"`
	// Parts tell where the sender has sent prompt parts lately.
	Parts []PartPlace `json:"p,omitempty"`
	// Faults are endpoints that fail requests of the sender.
	Faults []Fault `json:"f,omitempty"`
}

// Pulse tells when a VM was last heard of, directly or through others.
type Pulse struct {
	Address     string `json:"a"`
	Incarnation int64  `json:"i"`
	// AgeMS is how long ago that was, in milliseconds.
	AgeMS int64 `json:"g"`
	// FailureDomain is where the VM is.
	FailureDomain string `json:"d"`
	Learned       bool   `json:"k,omitempty"`
}

// Told is an endpoint's own word about its load.
type Told struct {
	Endpoint string `json:"e"`
	// Requests are those in progress and waiting there.
	Requests int `json:"r"`
	// AgeMS is how long ago it said so, in milliseconds.
	AgeMS int64 `json:"g"`
}

// Work is the work in progress at one endpoint.
type Work struct {
	Endpoint string `json:"e"`
	Requests int    `json:"r"`
	// Reading is the number of prompt tokens that the endpoint has still to read.
	Reading int `json:"t,omitempty"`
}

// PartPlace tells that an endpoint holds a prompt part.
type PartPlace struct {
	// Part is the part's hash.
	Part     uint64 `json:"p"`
	Endpoint string `json:"e"`
}

// Fault tells how an endpoint fails.
type Fault struct {
	Endpoint string `json:"e"`
	// Percent is the part of the last requests that failed.
	Percent int `json:"x"`
}
