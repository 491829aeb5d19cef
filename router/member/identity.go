package member

// Identity identifies a router process. Heartbeats to a peer that has acknowledged
// it carry the address alone.
type Identity struct {
	// Address is the router's peer address, which identifies its VM.
	Address string `json:"a"`
	// Name is the VM's name in logs.
	Name string `json:"n,omitempty"`
	// FailureDomain is the VM's failure domain.
	FailureDomain string `json:"d,omitempty"`
	// Incarnation is an identifier that is new with each start of the process.
	Incarnation string `json:"i,omitempty"`
}
