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
	// Leaving tells that the sender shuts down.
	Leaving bool `json:"l,omitempty"`
	// Learned tells that the sender knows where prompt parts are.
	Learned bool `json:"k,omitempty"`
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
	// Work is the sender's work in progress, by endpoint.
	Work []Work `json:"w,omitempty"`
	// Parts tell where the sender has sent prompt parts lately.
	Parts []PartPlace `json:"p,omitempty"`
	// Faults are endpoints that fail requests of the sender.
	Faults []Fault `json:"f,omitempty"`
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
