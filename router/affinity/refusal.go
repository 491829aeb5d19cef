package affinity

// Refusal is the reason why a candidate did not admit a request.
type Refusal int

// The reasons.
const (
	// RefusalFull means that the engine has no capacity for the request now.
	RefusalFull Refusal = iota
	// RefusalContextElsewhere means that the home declines the chat because its
	// context is elsewhere.
	RefusalContextElsewhere
	// RefusalContextUnknown means that the home's Index is incomplete and has no
	// entry for the chat.
	RefusalContextUnknown
	// RefusalContextLeft means that the home declines the chat, and that the engine
	// had the chat's context before.
	RefusalContextLeft
)
