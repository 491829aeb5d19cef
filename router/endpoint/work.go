package endpoint

import "cardamompoint.example/cardamompoint/router/template"

// Work is one model request, as routers and engines see it.
type Work struct {
	// RequestID identifies the request through all its attempts.
	RequestID string `json:"request_id"`
	// StreamID identifies this attempt at the engine.
	StreamID string `json:"stream_id"`
	// Workspace is whose request it is.
	Workspace string `json:"workspace"`
	// Chat identifies the chat within the workspace.
	Chat string `json:"chat"`
	// Model names the model.
	Model string `json:"model"`
	// Adapter names the adapter, if any.
	Adapter string `json:"adapter,omitempty"`
	// Priority is the class.
	Priority template.Priority `json:"priority"`
	// Prompt is the text to complete.
	Prompt string `json:"prompt"`
	// Prefix are the tokens of the answer that were delivered already. The
	// engine goes on after them.
	Prefix []string `json:"prefix,omitempty"`
	// MaxTokens bounds the whole answer, the prefix included.
	MaxTokens int `json:"max_tokens"`
}
