package affinity

// ContextLocation is where an engine's home expects the context of a chat.
type ContextLocation int

// The locations.
const (
	// ContextUnknown means that the home has no entry for the chat.
	ContextUnknown ContextLocation = iota
	// ContextHere means that the engine has admitted the chat and not refused it
	// since.
	ContextHere
	// ContextElsewhere means that the engine has refused the chat or, while its
	// home's Index was incomplete, the home has declined it.
	ContextElsewhere
	// ContextLeftHere means that the engine has refused the chat after admitting
	// it. The context is here if no other engine has admitted the chat since.
	ContextLeftHere
)
