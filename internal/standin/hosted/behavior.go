package hosted

// Behavior is how a Worker handles a request.
type Behavior int

// Values of Behavior.
const (
	// Serve responds successfully, as the protocol specifies.
	Serve Behavior = iota
	// Refuse responds that the request was not executed.
	Refuse
	// Fail executes the request and responds with status 500.
	Fail
	// DropConnection executes the request and closes the connection without a response.
	DropConnection
	// Hang executes the request and never responds.
	Hang
	// Unsealed responds with a success without a seal.
	Unsealed
	// ForeignID responds with the ID of another request.
	ForeignID
	// Truncate closes the connection in the middle of the response.
	Truncate
	// ExtraResponse sends another response after the right one.
	ExtraResponse
	// AnnounceLeaving responds successfully and announces that the endpoint is about to stop.
	AnnounceLeaving
	// RefuseWithRetryAfter responds that the request was not executed, with a Retry-After
	// header.
	RefuseWithRetryAfter
	// Trickle executes a stream and sends single bytes that never complete an event.
	Trickle
	// RefuseEndlessly responds that the request was not executed, with a body without end.
	RefuseEndlessly
	// RefuseAfterRun executes the request and responds with a status that promises the contrary.
	RefuseAfterRun
	// InvalidStatus executes the request and responds with a status that HTTP does not allow.
	InvalidStatus
	// StopWithinChunk executes a stream, falls silent after the size of a chunk, and closes the connection later.
	StopWithinChunk
	// Behaviors is the number of behaviors.
	Behaviors
)
