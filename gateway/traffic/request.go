package traffic

import "time"

// Request is what the gateway needs to know of a caller's request.
type Request struct {
	// ID is the caller's id of this attempt.
	ID string
	// Key is the caller's secret, "" if none was sent.
	Key string
	// Budget is how long the caller waits; 0 if it is not told.
	Budget time.Duration
	// LastEvent is the last event that the caller has of a stream it resumes.
	LastEvent string
	// Prompt describes the prompt; it is empty for other work.
	Prompt Prompt
}

// Prompt describes the prompt of a request to a language model.
type Prompt struct {
	Model string
	// Tokens is the number of prompt tokens, MaxOutput the bound of the answer's.
	Tokens    int
	MaxOutput int
	// ExpectedOutput is the caller's estimate of the answer's tokens, 0 if none.
	ExpectedOutput int
	// Parts are in the order of the prompt. The last one is the request's own.
	Parts []Part
}

// SharedTokens is the size of the parts before the request's own one.
func (p *Prompt) SharedTokens() int {
	shared := 0
	for i := 0; i < len(p.Parts)-1; i++ {
		shared += p.Parts[i].Tokens
	}
	return shared
}

// Part is a piece of a prompt that other requests may share.
type Part struct {
	// ID is the hash that the caller gives.
	ID uint64
	// Tokens is its size.
	Tokens int
}
