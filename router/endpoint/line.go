package endpoint

import "cardamompoint.example/cardamompoint/code"

// Line is one JSON line of an answer in progress.
type Line struct {
	// RequestID is the request that the line belongs to.
	RequestID string `json:"request_id"`
	// StreamID is the engine's stream that the line belongs to.
	StreamID string `json:"stream_id,omitempty"`
	// Offset is the token's index in the whole answer, from 0.
	Offset int `json:"offset"`
	// Text is the token. It is empty in lines that carry no token.
	Text string `json:"text,omitempty"`
	// Final ends the answer.
	Final *Final `json:"final,omitempty"`
	// Error ends the answer with an error.
	Error *code.Error `json:"error,omitempty"`
}

// Final is the summary at the end of an answer.
type Final struct {
	// Tokens is the length of the whole answer, in tokens.
	Tokens int `json:"tokens"`
	// PromptTokens is the length of the prompt, in tokens.
	PromptTokens int `json:"prompt_tokens"`
	// ReusedTokens is the number of prompt tokens whose context was in the cache.
	ReusedTokens int `json:"reused_tokens"`
	// Engine is the engine that finished the answer.
	Engine string `json:"engine,omitempty"`
}
