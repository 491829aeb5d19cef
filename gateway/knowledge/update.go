package knowledge

import (
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/platform"
)

// Update is a set of items that brings a Tracker up to a position in the store's history.
type Update struct {
	Items []platform.Item
	// Held are the deletions that the sender of Items holds: of endpoints whose entries may only
	// have expired.
	Held []platform.Item
	// LastWrites are the last known writes of deleted entries by key.
	LastWrites map[string]traffic.Write
	// HoldUntil is a time until which the sender of Items holds Held.
	HoldUntil clock.Boot
	// DoubtUntil is a time until which entries of a restored copy are to be doubted, 0 if none are.
	DoubtUntil clock.Boot
	// Full reports whether Items are all items that exist, not only the changed ones.
	Full bool
	// EvacuationsComplete reports whether Items have all evacuations that are in force.
	EvacuationsComplete bool
	// Era and Revision are the position that Items are complete up to.
	Era      int64
	Revision int64
	// Newest is the position of the newest change that the sender of Items has applied. It may be
	// after Revision. Zero if the update comes from the store.
	Newest traffic.Position
	// ConfirmedAt is a time such that all changes made before it are in Items or were
	// known already. 0 if there is none.
	ConfirmedAt clock.Boot
	// Available is a span in which the store was available, unknown if it is zero.
	Available Availability
	// DeletionsFinal reports whether deletions apply at once because another VM has
	// already decided whether and how long to hold the endpoints.
	DeletionsFinal bool
}

// Position returns the position that Items are complete up to.
func (u *Update) Position() traffic.Position {
	return traffic.Position{Era: u.Era, Revision: u.Revision}
}

// listedKeys returns the keys of the items that exist.
func (u *Update) listedKeys() map[string]bool {
	listed := make(map[string]bool, len(u.Items))
	for i := range u.Items {
		if !u.Items[i].Deleted {
			listed[u.Items[i].Key] = true
		}
	}
	return listed
}
