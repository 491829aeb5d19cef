package member

// Self identifies one router process. Between routers that know each other's
// incarnation the address alone is sent.
type Identity struct {
	// Address is the peer address; it identifies the VM.
	Address string `json:"a"`
	// Name is the VM's name in logs.
	Name string `json:"n,omitempty"`
	// FailureDomain is the VM's failure domain.
	FailureDomain string `json:"d,omitempty"`
	// Incarnation is new with each start of the process.
	Incarnation string `json:"i,omitempty"`
}
