package stream

import (
	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/seal"
)

const idPurpose = "stream"

// ID tells where an answer in progress is. Callers see it sealed.
type ID struct {
	// RequestID is the request.
	RequestID string `json:"r"`
	// StreamID is the engine's stream.
	StreamID string `json:"s"`
	// Workspace is whose answer it is.
	Workspace string `json:"w"`
	// Engine is the address of the engine that runs the stream.
	Engine string `json:"e"`
	// Home is the address of the router that counts the stream.
	Home string `json:"h"`
	// Model is the model that answers.
	Model string `json:"m"`
	// MaxTokens bounds the whole answer.
	MaxTokens int `json:"n"`
}

// Seal returns the text of id for callers.
func (id ID) Seal(secret []byte) string {
	return seal.Seal(secret, idPurpose, id)
}

// OpenID checks and decodes a text made by Seal. Errors carry code.UnknownStream.
func OpenID(secret []byte, text string) (ID, error) {
	var id ID
	if err := seal.Open(secret, idPurpose, text, &id); err != nil {
		return ID{}, code.Wrap(err, code.UnknownStream, "the stream id is not valid")
	}
	return id, nil
}
