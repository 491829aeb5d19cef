package shed

import "time"

// Request describes a request before it is sent.
type Request struct {
	// Workspace is the name of the request's workspace, "" for requests without a key.
	Workspace string
	// Priority is the priority at endpoints, from 0 (most urgent) to 9: that of the workspace if it has one.
	Priority int
	// RoutePriority is the priority of the route, from 0 (most urgent) to 9.
	RoutePriority int
	// Cost is the estimated work of the request. Its unit must be the same for all
	// requests of a service.
	Cost float64
	// Delay is the expected time until the picked endpoint begins the answer.
	Delay time.Duration
	// Draw is a uniformly distributed number that decides among requests of equal rank.
	Draw uint64
	// Backlog is the mean time that endpoints need to prefill the prompts they have, and
	// Objective the request's time-to-first-token objective, 0 if it has none.
	Backlog   time.Duration
	Objective time.Duration
	// Route is the name of the request's route. TimeLeft is the time until the caller gives
	// up, 0 if it is not known.
	Route    string
	TimeLeft time.Duration
	// Occupancy is the mean number of requests at an endpoint divided by its slots. It is
	// above 1 if requests queue.
	Occupancy float64
}
