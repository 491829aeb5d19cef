package stream

import (
	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/seal"
)

// idPurpose keeps other sealed texts from being accepted as IDs.
const idPurpose = "stream"

// ID identifies an answer in progress and where it is produced. Callers receive it sealed.
type ID struct {
	// RequestID is the ID of the request.
	RequestID string `json:"r"`
	// StreamID is the engine's ID of the stream.
	StreamID string `json:"s"`
	// Workspace is the name of the request's workspace.
	Workspace string `json:"w"`
	// Engine is the address of the engine that runs the stream.
	Engine string `json:"e"`
	// Home is the address of the router that counts the stream against the engine's
	// capacity.
	Home string `json:"h"`
	// Model is the name of the model that produces the answer.
	Model string `json:"m"`
	// MaxTokens bounds the length of the whole answer in tokens.
	MaxTokens int `json:"n"`
}

// Seal returns the sealed text of id for callers.
func (id ID) Seal(secret []byte) string {
	return seal.Seal(secret, idPurpose, id)
}

// OpenID verifies and decodes a text that Seal returned. Errors have the code
// code.UnknownStream.
func OpenID(secret []byte, text string) (ID, error) {
	var id ID
	if err := seal.Open(secret, idPurpose, text, &id); err != nil {
		return ID{}, code.Wrap(err, code.UnknownStream, "invalid stream ID")
	}
	return id, nil
}
