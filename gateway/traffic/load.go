package traffic

// Load is the load that an endpoint reports with a response.
type Load struct {
	// Running and Waiting count the requests in progress and in its queue.
	Running int
	Waiting int
	// Slots is the number of requests that it processes concurrently.
	Slots int
	// Contention is how long work takes on the endpoint's host at this moment, as a multiple of the
	// usual time; 0 if the endpoint does not state it.
	Contention float64
}
