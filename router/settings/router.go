package settings

// Router holds the settings of a router process.
type Router struct {
	// Name identifies the VM in logs and status. It must be unique in the fleet.
	Name string `json:"name"`
	// FailureDomain is the VM's failure domain, as in the list of VMs.
	FailureDomain string `json:"failure_domain"`
	// Region is the VM's region. Empty means the only region.
	Region string `json:"region,omitempty"`
	// Callers is the address that serves callers behind the load balancer.
	Callers string `json:"callers"`
	// Peers is the address that serves other routers. It is also the router's
	// address in the list of VMs.
	Peers string `json:"peers"`
	// Operators is the address that serves health checks, metrics and status.
	Operators string `json:"operators"`
	// Platform is the address of the platform's service.
	Platform string `json:"platform"`
	// Seeds are addresses of peers to contact while the list of VMs is unknown.
	// With more seeds, a start without the platform is more likely to succeed; they
	// cost nothing afterwards.
	Seeds []string `json:"seeds,omitempty"`
	// SecretFile is the path of the file with the hexadecimal secret that
	// authenticates routers to each other and seals tickets, hints and stream IDs.
	// The path is relative to the folder of the settings file.
	SecretFile string `json:"secret_file"`
	// Limits bounds load and memory.
	Limits Limits `json:"limits"`
	// Timing holds periods and timeouts.
	Timing Timing `json:"timing"`
	// Path is the path of the settings file. It is not part of the file.
	Path string `json:"-"`
	// Secret is the decoded content of SecretFile. It is not part of the file.
	Secret []byte `json:"-"`
}
