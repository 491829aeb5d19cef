package endpoint

import "cardamompoint.example/cardamompoint/code"

// Line is one line of an answer in progress, as JSON.
type Line struct {
	// RequestID is the request that the line belongs to.
	RequestID string `json:"request_id"`
	// StreamID is the engine's stream that the line belongs to.
	StreamID string `json:"stream_id,omitempty"`
	// Offset is the token's place in the whole answer, from 0.
	Offset int `json:"offset"`
	// Text is the token. It is empty in lines that carry no token.
	Text string `json:"text,omitempty"`
	// Final closes the answer.
	Final *Final `json:"final,omitempty"`
	// Error closes the answer with a fault.
	Error *code.Error `json:"error,omitempty"`
}

// Final tells how an answer ended.
type Final struct {
	// Tokens is the length of the whole answer.
	Tokens int `json:"tokens"`
	// PromptTokens is the length of the prompt.
	PromptTokens int `json:"prompt_tokens"`
	// ReusedTokens is the part of the prompt whose context was in the cache.
	ReusedTokens int `json:"reused_tokens"`
	// Engine is the engine that finished the answer.
	Engine string `json:"engine,omitempty"`
}
