package affinity

// Lookup tells a home how to use its Index for a request.
type LookupMode string

// The values of Lookup.
const (
	// LookupAny admits the chat whatever the Index says.
	LookupAny LookupMode = ""
	// LookupReturning passes a chat on that went elsewhere, or that a home
	// without a complete Index does not know.
	LookupReturning LookupMode = "returning"
	// LookupHeld admits the chat only if the engine holds its context.
	LookupHeld LookupMode = "held"
)
