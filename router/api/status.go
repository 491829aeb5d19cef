package api

// Status is what a router says of itself to operators.
type Status struct {
	// Name is the VM's name.
	Name string `json:"name"`
	// Address is the peer address.
	Address string `json:"address"`
	// Incarnation is new with each start.
	Incarnation string `json:"incarnation"`
	// Ready tells whether the router takes new requests.
	Ready bool `json:"ready"`
	// Revision is the configuration revision in force.
	Revision int64 `json:"revision"`
	// Workspaces are the rules in force.
	Workspaces []WorkspaceStatus `json:"workspaces"`
	// Refused are the faults of documents that are not in force, by key.
	Refused map[string]string `json:"refused,omitempty"`
	// ListVersion is the version of the list of VMs.
	ListVersion int64 `json:"list_version"`
	// ListAgeMS is the time since the platform last confirmed the list, in
	// milliseconds; -1 if it never did.
	ListAgeMS int64 `json:"list_age_ms"`
	// ConfigAgeMS is the time since the platform last confirmed the
	// configuration, to this router or to one that told it, in milliseconds; -1
	// if it never did.
	ConfigAgeMS int64 `json:"config_age_ms"`
	// Digest is a short hash of all documents that the router knows. Routers
	// with the same digest have the same configuration in force.
	Digest string `json:"digest"`
	// Reader tells whether the router is chosen to read the platform.
	Reader bool `json:"reader"`
	// Stale tells that the router has slept and refreshes its view.
	Stale bool `json:"stale"`
	// Peers are the other routers.
	Peers []PeerStatus `json:"peers"`
	// InProgress is the number of callers' requests in progress.
	InProgress int64 `json:"in_progress"`
	// Records is the number of outcomes kept for repeated keys.
	Records int `json:"records"`
	// Engines are the engines whose load this router counts.
	Engines []EngineStatus `json:"engines"`
	// ControlBytes is the number of bytes of control traffic since the start,
	// sent and received on connections that this router opened.
	ControlBytes int64 `json:"control_bytes"`
}

// WorkspaceStatus is the version of one workspace's rules.
type WorkspaceStatus struct {
	Workspace        string `json:"workspace"`
	TemplateVersion  int64  `json:"template_version"`
	ParameterVersion int64  `json:"parameter_version"`
}

// PeerStatus is what a router thinks of another one.
type PeerStatus struct {
	Address string `json:"address"`
	Name    string `json:"name"`
	Health  string `json:"health"`
	// Suspected tells that the peer did not answer lately.
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
