package affinity

// Place tells where an engine's home expects the context of a chat.
type Place int

// The values of Place.
const (
	// Unknown means that the home has no entry for the chat.
	Unknown Place = iota
	// Here means that the engine admitted the chat last.
	Here
	// Elsewhere means that the chat was refused here since then.
	Elsewhere
	// Left means the same, and that the engine had admitted the chat last before
	// the refusal. If no other engine has admitted it since, its context is here.
	Left
)
