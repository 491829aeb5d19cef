package once

// Holder is the process that a key was granted to.
type Holder struct {
	// Address is the process's peer address.
	Address string `json:"x"`
	// Incarnation distinguishes the process from earlier ones at the same address.
	Incarnation string `json:"i"`
	// Attempt is the number of the process's attempt to get a clearance. Later
	// attempts have higher numbers.
	Attempt int64 `json:"a"`
}

// sameProcess reports whether h and other are the same process.
func (h Holder) sameProcess(other Holder) bool {
	return h.Address == other.Address && h.Incarnation == other.Incarnation
}
