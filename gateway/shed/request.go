package shed

import "time"

// Request is what is known of a request before it is sent.
type Request struct {
	// Workspace is "" for requests without a key.
	Workspace string
	// Priority is the rank at endpoints, 0 to 9; 0 goes first.
	Priority int
	// Cost is the work of the request, in any unit that a service keeps to.
	Cost float64
	// Draw decides among requests of one rank. It is spread evenly over all values.
	Draw uint64
	// Backlog is how long endpoints need on average for what they have still to read,
	// and Objective the time in which the answer should begin; 0 if it does not matter.
	Backlog   time.Duration
	Objective time.Duration
	// Occupancy is the mean number of requests at an endpoint, as a part of its slots.
	Occupancy float64
}
