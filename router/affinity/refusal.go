package affinity

// Refusal tells why a candidate did not admit a request.
type Refusal int

// The values of Refusal.
const (
	// RefusalFull means that the engine can't take the request now.
	RefusalFull Refusal = iota
	// RefusalElsewhere means that the home passes the chat on.
	RefusalContextElsewhere
	// RefusalUnknown means that the home's Index is not complete and does not
	// know the chat.
	RefusalContextUnknown
	// RefusalLeft means that the home passes the chat on, whose context was at
	// the engine before.
	RefusalContextLeft
)
