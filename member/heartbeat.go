package member

import "cardamompoint.example/cardamompoint/balance"

// Heartbeat is what routers tell one another periodically.
type Heartbeat struct {
	// From is the sender.
	From Self `json:"from"`
	// Leaving tells that the sender shuts down.
	Leaving bool `json:"leaving,omitempty"`
	// ListVersion is the version of the sender's list of VMs.
	ListVersion int64 `json:"list_version"`
	// Revision is the sender's configuration revision.
	Revision int64 `json:"revision"`
	// Loads are the loads that the sender counts, by model.
	Loads map[string]balance.ModelLoad `json:"loads,omitempty"`
}
