package router

import (
	"cardamompoint.example/cardamompoint/router/config"
	"cardamompoint.example/cardamompoint/router/member"
	"cardamompoint.example/cardamompoint/router/source"
)

// Paths of control messages. They are short, since each message carries one.
const (
	heartbeatPath = "/p/b"
	indirectPath  = "/p/i"
	pushPath      = "/p/p"
	listPath      = "/p/l"
	stampsPath    = "/p/s"
	unitsPath     = "/p/u"
)

// emptyAnswer is an answer without content.
type emptyAnswer struct{}

// pushMessage tells a peer of changes that were new to the sender.
type pushMessage struct {
	// From is the sender's address.
	From string `json:"f"`
	// Units are the changed configuration units.
	Units []config.Unit `json:"u,omitempty"`
	// Fetch reports whether the units were too large to be included.
	Fetch bool `json:"g,omitempty"`
	// After and Revision delimit the changes: the units are all that changed after
	// revision After up to Revision.
	After    int64 `json:"a,omitempty"`
	Revision int64 `json:"r,omitempty"`
	// ListVersion is the version of the sender's list of VMs.
	ListVersion int64 `json:"v"`
	// List holds the changes of the list, unless there are too many.
	List *source.VMList `json:"l,omitempty"`
	// Updates are membership updates about routers.
	Updates []member.Update `json:"m,omitempty"`
}

// listRequest requests the changes of the list of VMs after a version.
type listRequest struct {
	After int64 `json:"a"`
}

// listAnswer answers a listRequest.
type listAnswer struct {
	List source.VMList `json:"l"`
	// AgeMS is the time since the platform last confirmed the version, in
	// milliseconds; -1 if unknown.
	AgeMS int64 `json:"a"`
}

// stampsRequest requests the stamps of the units in the digest buckets that differ.
type stampsRequest struct {
	Digest config.Digest `json:"d"`
}

// stampsAnswer answers a stampsRequest with the stamps of all units in the buckets
// that differ.
type stampsAnswer struct {
	Stamps []config.Stamp `json:"s,omitempty"`
	// Revision is the revision up to which the answering router has the complete
	// configuration.
	Revision int64 `json:"r"`
	// AgeMS is the time since the platform last confirmed the configuration, in
	// milliseconds; -1 if unknown.
	AgeMS int64 `json:"a"`
}

// unitsRequest requests units by name.
type unitsRequest struct {
	Names []string `json:"n"`
}

// unitsMessage answers a unitsRequest with units in the order of the requested
// names, as many as fit.
type unitsMessage struct {
	Units []config.Unit `json:"u,omitempty"`
}

// indirectRequest asks a peer to probe another one.
type indirectRequest struct {
	Address string `json:"a"`
}
