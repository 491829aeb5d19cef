package shed

// Decision tells whether a request is sent, and why not.
type Decision struct {
	// Refused tells that the request is not sent.
	Refused bool
	// Rank is the request's place: its priority, and more if its workspace uses more
	// than its share. The lowest rank goes first.
	Rank int
	// Over tells that the workspace uses more than its share.
	OverShare bool
	// Excess is the part of the service's requests that is too much.
	Excess float64
}
