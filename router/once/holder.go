package once

// Holder is the process that a key was yielded to.
type Holder struct {
	// Address is the process's peer address.
	Address string `json:"x"`
	// Incarnation is the process's incarnation.
	Incarnation string `json:"i"`
	// Attempt numbers the process's attempts to get a clearance; a later one
	// has a higher number.
	Attempt int64 `json:"a"`
}

// sameProcess reports whether both are one process.
func (h Holder) sameProcess(other Holder) bool {
	return h.Address == other.Address && h.Incarnation == other.Incarnation
}
