package endpoint

import "cardamompoint.example/cardamompoint/router/template"

// Work is one model request as sent to an engine.
type Work struct {
	// RequestID identifies the request in all its attempts.
	RequestID string `json:"request_id"`
	// StreamID identifies this attempt at the engine.
	StreamID string `json:"stream_id"`
	// Workspace is the workspace that the request belongs to.
	Workspace string `json:"workspace"`
	// Chat identifies the chat within the workspace.
	Chat string `json:"chat"`
	// Model names the model.
	Model string `json:"model"`
	// Adapter names the adapter, if any.
	Adapter string `json:"adapter,omitempty"`
	// Priority is the priority class.
	Priority template.Priority `json:"priority"`
	// Prompt is the text to complete.
	Prompt string `json:"prompt"`
	// Prefix holds the tokens of the answer that were already delivered. The engine
	// continues after them.
	Prefix []string `json:"prefix,omitempty"`
	// MaxTokens is the maximum length of the whole answer, including the prefix.
	MaxTokens int `json:"max_tokens"`
}
