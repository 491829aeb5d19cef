package routebench

import (
	"time"

	"cardamompoint.example/cardamompoint/router/template"
)

// Request is one request of a chat.
type Request struct {
	// At is the time of arrival.
	At time.Duration
	// Entry is the router that the balancer picks.
	Entry int
	// Chat is the chat's number; Key is its key in rankings.
	Chat int
	Key  uint64
	// Workspace is whose chat it is.
	Workspace string
	// Priority is the class.
	Priority template.Priority
	// Turn counts the chat's requests from 0.
	Turn int
	// Prompt is the length of the prompt, in tokens.
	Prompt int
	// Bound is the longest answer, in tokens; Answer is the one that comes.
	Bound  int
	Answer int
}

// service is the time that the answer takes.
func (r *Request) service() time.Duration {
	return time.Duration(r.Answer) * tokenInterval
}
