package settings

// Router holds the settings of one router process.
type Router struct {
	// Name identifies the VM in logs and in status. It must be unique in the fleet.
	Name string `json:"name"`
	// FailureDomain is the VM's failure domain, as in the list of VMs.
	FailureDomain string `json:"failure_domain"`
	// Region is the VM's region. Empty means the only region.
	Region string `json:"region,omitempty"`
	// Callers is the address that serves callers behind the balancer.
	Callers string `json:"callers"`
	// Peers is the address that serves the other routers. It is also the
	// router's address in the list of VMs.
	Peers string `json:"peers"`
	// Operators is the address that serves health checks, metrics and status.
	Operators string `json:"operators"`
	// Platform is the address of the platform's service.
	Platform string `json:"platform"`
	// Seeds are peer addresses that are asked while the list of VMs is not
	// known yet. More seeds make a start without the platform more likely to
	// succeed and cost nothing afterwards.
	Seeds []string `json:"seeds,omitempty"`
	// SecretFile is a file with the secret, in hexadecimal, that routers use to
	// prove who they are and to seal tickets, hints and stream ids.
	SecretFile string `json:"secret_file"`
	// Limits bounds load and memory.
	Limits Limits `json:"limits"`
	// Timing holds the periods and timeouts.
	Timing Timing `json:"timing"`
	// Path is where the file was read. It is not part of the file.
	Path string `json:"-"`
	// Secret is the content of SecretFile. It is not part of the file.
	Secret []byte `json:"-"`
}
