package affinity

// Lookup tells a home how to use its Index for a request.
type Lookup string

// The values of Lookup.
const (
	// LookupAny admits the chat whatever the Index says.
	LookupAny Lookup = ""
	// LookupReturning passes a chat on that went elsewhere, or that a home
	// without a complete Index does not know.
	LookupReturning Lookup = "returning"
	// LookupHeld admits the chat only if the engine holds its context.
	LookupHeld Lookup = "held"
)
