package affinity

// LookupMode specifies how a home uses its Index for a request.
type LookupMode string

// The lookup modes.
const (
	// LookupAny admits the chat whatever the Index says.
	LookupAny LookupMode = ""
	// LookupReturning declines a chat that went elsewhere, or that is unknown to a
	// home whose Index is incomplete.
	LookupReturning LookupMode = "returning"
	// LookupHeld admits the chat only if the engine holds its context.
	LookupHeld LookupMode = "held"
)
