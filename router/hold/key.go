package hold

// Key identifies a stream at an engine.
type Key struct {
	// Engine is the engine's address.
	Engine string `json:"engine"`
	// RequestID is the ID of the request that the stream answers.
	RequestID string `json:"request_id"`
	// StreamID is the stream's ID at the engine.
	StreamID string `json:"stream_id"`
}
