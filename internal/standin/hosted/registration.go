package hosted

import "fmt"

// registration is what an endpoint says of itself in its entry.
type registration struct {
	service string
	address string
	domain  string
	state   string
	// bornMS is the Unix time in milliseconds at which the endpoint started.
	bornMS int64
	// sequence counts the reports since the start.
	sequence int64
	// left reports whether the endpoint has left and writes nothing any more.
	left bool
}

// entry returns the value that the endpoint writes under its key.
func (r registration) entry() []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":8,"state":%q,"coldLeftMs":0,"born":%d,"sequence":%d}`,
		r.service, r.address, r.domain, r.state, r.bornMS, r.sequence)
}
