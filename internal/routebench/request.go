package routebench

import (
	"time"

	"cardamompoint.example/cardamompoint/router/template"
)

// Request is one request of a chat.
type Request struct {
	// At is the time of arrival.
	At time.Duration
	// Entry is the index of the router that receives the request.
	Entry int
	// Chat is the chat's number, Key its key in rankings.
	Chat int
	Key  uint64
	// Workspace is the workspace that the chat belongs to.
	Workspace string
	// Priority is the priority class.
	Priority template.Priority
	// Turn is the number of the request within the chat, from 0.
	Turn int
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// MaxAnswerTokens is the maximum length of the answer, AnswerTokens its actual
	// length.
	MaxAnswerTokens int
	AnswerTokens    int
}

// serviceTime returns the time that the answer takes.
func (r *Request) serviceTime() time.Duration {
	return time.Duration(r.AnswerTokens) * tokenInterval
}
