package api

// Status is a router's status report for operators.
type Status struct {
	// Name is the VM's name.
	Name string `json:"name"`
	// Address is the router's peer address.
	Address string `json:"address"`
	// Incarnation identifies the process. It changes with each start.
	Incarnation string `json:"incarnation"`
	// Ready reports whether the router accepts new requests.
	Ready bool `json:"ready"`
	// Revision is the configuration revision in force.
	Revision int64 `json:"revision"`
	// Workspaces are the versions in force of the workspaces' rules.
	Workspaces []WorkspaceStatus `json:"workspaces"`
	// Refused holds the errors of refused configuration documents, by key.
	Refused map[string]string `json:"refused,omitempty"`
	// ListVersion is the version of the list of VMs.
	ListVersion int64 `json:"list_version"`
	// ListAgeMS is the time since the platform last confirmed the list, in
	// milliseconds; -1 if it never did.
	ListAgeMS int64 `json:"list_age_ms"`
	// ConfigAgeMS is the time since the platform last confirmed the configuration,
	// to this router or to a peer that passed it on, in milliseconds; -1 if it
	// never did.
	ConfigAgeMS int64 `json:"config_age_ms"`
	// Digest is a short hash of all configuration documents that the router knows.
	// Routers with the same digest have the same configuration in force.
	Digest string `json:"digest"`
	// Reader reports whether the router is one of those that read from the
	// platform.
	Reader bool `json:"reader"`
	// Stale reports whether the router was suspended and is refreshing its view.
	Stale bool `json:"stale"`
	// Peers are the other routers.
	Peers []PeerStatus `json:"peers"`
	// InProgress is the number of callers' requests in progress.
	InProgress int64 `json:"in_progress"`
	// Records is the number of recorded outcomes, which answer repeated keys.
	Records int `json:"records"`
	// Engines are the engines whose load this router counts.
	Engines []EngineStatus `json:"engines"`
	// ControlBytes is the number of bytes of control traffic since the start,
	// sent and received on connections that this router opened.
	ControlBytes int64 `json:"control_bytes"`
}

// WorkspaceStatus holds the versions in force of one workspace's template and
// parameters.
type WorkspaceStatus struct {
	Workspace        string `json:"workspace"`
	TemplateVersion  int64  `json:"template_version"`
	ParameterVersion int64  `json:"parameter_version"`
}

// PeerStatus is what a router knows of another router.
type PeerStatus struct {
	Address string `json:"address"`
	Name    string `json:"name"`
	Health  string `json:"health"`
	// Suspected reports whether the peer has recently failed to answer.
	Suspected bool  `json:"suspected,omitempty"`
	Revision  int64 `json:"revision"`
	// HeardMS is the time since the peer was last heard from, in milliseconds;
	// -1 if it never was.
	HeardMS int64 `json:"heard_ms"`
}

// EngineStatus is the load that a router counts at an engine.
type EngineStatus struct {
	Engine   string `json:"engine"`
	Requests int    `json:"requests"`
	Tokens   int    `json:"tokens"`
}
