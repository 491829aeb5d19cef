package traffic

import "cmp"

// Position is a place in the history of the platform's store. The store numbers its changes by
// revision. When it comes back from a copy, it begins a new era, in which it assigns revisions
// above the copy's again.
type Position struct {
	// Era counts how often the store came back from a copy; 0 if the store does not tell.
	Era int64 `json:"era,omitempty"`
	// Revision is the number of a change within its era.
	Revision int64 `json:"revision"`
}

// Compare returns -1 if p is before other, 1 if it is after it, and otherwise 0.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// After reports whether p comes after other.
func (p Position) After(other Position) bool {
	return p.Compare(other) > 0
}

// IsZero reports whether p is before all changes.
func (p Position) IsZero() bool {
	return p == Position{}
}
