package router

import (
	"cardamompoint.example/cardamompoint/router/config"
	"cardamompoint.example/cardamompoint/router/member"
	"cardamompoint.example/cardamompoint/router/source"
)

// The paths of control messages are short: each message carries one.
const (
	heartbeatPath = "/p/b"
	indirectPath  = "/p/i"
	pushPath      = "/p/p"
	listPath      = "/p/l"
	stampsPath    = "/p/s"
	unitsPath     = "/p/u"
)

// empty is an answer without content.
type emptyAnswer struct{}

// pushMessage tells of what was new to the sender.
type pushMessage struct {
	// From is the sender's address.
	From string `json:"f"`
	// Units are changed units of the configuration.
	Units []config.Unit `json:"u,omitempty"`
	// Fetch tells that the units were too large to be sent.
	Fetch bool `json:"g,omitempty"`
	// After and Revision are the revisions between which just the units changed.
	After    int64 `json:"a,omitempty"`
	Revision int64 `json:"r,omitempty"`
	// ListVersion is the version of the sender's list of VMs.
	ListVersion int64 `json:"v"`
	// List are changes of the list, unless there are too many.
	List *source.VMs `json:"l,omitempty"`
	// Updates are news of routers.
	Updates []member.Update `json:"m,omitempty"`
}

// listRequest asks for the changes of the list of VMs after a version.
type listRequest struct {
	After int64 `json:"a"`
}

// listAnswer holds the changes.
type listAnswer struct {
	List source.VMs `json:"l"`
	// AgeMS is the time since the platform confirmed the version, in
	// milliseconds; -1 if it is not known.
	AgeMS int64 `json:"a"`
}

// stampsRequest asks for the stamps of the units that differ.
type stampsRequest struct {
	Digest config.Digest `json:"d"`
}

// stampsAnswer holds the stamps of all units in the parts of the digest that
// differ.
type stampsAnswer struct {
	Stamps []config.Stamp `json:"s,omitempty"`
	// Revision is the revision up to which the answering router knows all.
	Revision int64 `json:"r"`
	// AgeMS is the time since the platform confirmed the configuration, in
	// milliseconds; -1 if it is not known.
	AgeMS int64 `json:"a"`
}

// unitsRequest asks for units by name.
type unitsRequest struct {
	Names []string `json:"n"`
}

// unitsMessage holds units in the order of the names that were asked for.
type unitsMessage struct {
	Units []config.Unit `json:"u,omitempty"`
}

// indirectRequest asks a peer to probe another one.
type indirectRequest struct {
	Address string `json:"a"`
}
