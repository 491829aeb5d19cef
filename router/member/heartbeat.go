package member

import "cardamompoint.example/cardamompoint/router/balance"

// Heartbeat is the message that two routers exchange in each period. Its size does
// not depend on the size of the fleet.
type Heartbeat struct {
	// From identifies the sender.
	From Identity `json:"f"`
	// Counter is the sender's suspicion counter (SWIM's incarnation number): a
	// suspicion of the sender holds only while it carries the highest known
	// counter. 0 means that the value is the one that the receiver has
	// acknowledged.
	Counter int64 `json:"c,omitempty"`
	// Leaving reports whether the sender is shutting down.
	Leaving bool `json:"l,omitempty"`
	// Stale reports whether the sender was suspended and has not refreshed its view
	// yet.
	Stale bool `json:"s,omitempty"`
	// ListVersion is the version of the sender's list of VMs.
	ListVersion int64 `json:"lv"`
	// ListAgeMS is the time since the platform last confirmed that version, in
	// milliseconds; -1 if unknown.
	ListAgeMS int64 `json:"la"`
	// Revision is the revision up to which the sender has the complete
	// configuration.
	Revision int64 `json:"cv"`
	// ConfigAgeMS is the time since the platform last confirmed the configuration,
	// in milliseconds; -1 if unknown.
	ConfigAgeMS int64 `json:"ca"`
	// Root is the root hash of the sender's configuration digest.
	Root string `json:"cr"`
	// Loads are the loads in progress that the sender counts, by model.
	Loads map[string]balance.ModelLoad `json:"o,omitempty"`
	// Means are the sender's estimates of the mean load of a router, by model.
	// Fleets of up to MaxPeersProbedAtOnce peers don't use them.
	Means map[string]Mean `json:"m,omitempty"`
	// Updates are membership updates about other routers.
	Updates []Update `json:"u,omitempty"`
}
