package member

import "cardamompoint.example/cardamompoint/router/balance"

// Heartbeat is what two routers tell each other in one exchange. Its size does
// not depend on the size of the fleet.
type Heartbeat struct {
	// From is the sender.
	From Identity `json:"f"`
	// Counter orders what is told of the sender: a suspicion holds only while
	// it carries the highest counter known. 0 means as told before.
	Counter int64 `json:"c,omitempty"`
	// Leaving tells that the sender shuts down.
	Leaving bool `json:"l,omitempty"`
	// Stale tells that the sender has slept and not yet refreshed its view.
	Stale bool `json:"s,omitempty"`
	// ListVersion is the version of the sender's list of VMs.
	ListVersion int64 `json:"lv"`
	// ListAgeMS is the time since the platform confirmed that version, in
	// milliseconds; -1 if it is not known.
	ListAgeMS int64 `json:"la"`
	// Revision is the revision up to which the sender knows all of the configuration.
	Revision int64 `json:"cv"`
	// ConfigAgeMS is the time since the platform confirmed the configuration,
	// in milliseconds; -1 if it is not known.
	ConfigAgeMS int64 `json:"ca"`
	// Root is the root of the digest of the sender's configuration.
	Root string `json:"cr"`
	// Loads are the loads that the sender counts, by model.
	Loads map[string]balance.ModelLoad `json:"o,omitempty"`
	// Means are the sender's estimates of the mean load of a router, by model.
	// Small fleets don't use them.
	Means map[string]Mean `json:"m,omitempty"`
	// Updates are news of other routers.
	Updates []Update `json:"u,omitempty"`
}
