package affinity

// Place tells where an engine's home expects the context of a chat.
type ContextLocation int

// The values of Place.
const (
	// Unknown means that the home has no entry for the chat.
	ContextUnknown ContextLocation = iota
	// Here means that the engine admitted the chat last.
	ContextHere
	// Elsewhere means that the chat was refused here since then.
	ContextElsewhere
	// Left means the same, and that the engine had admitted the chat last before
	// the refusal. If no other engine has admitted it since, its context is here.
	ContextLeftHere
)
