package emulator

import (
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// Request is a request of a caller, with all its attempts.
type Request struct {
	ArrivesAt clock.Boot
	Kind      *Kind
	Workspace int
	// VM is the number of the VM at which the newest attempt arrived.
	VM     int
	Prompt traffic.Prompt
	// UniqueTokens is the size of the prompt part that only this request has,
	// AnswerTokens that of the answer.
	UniqueTokens int
	AnswerTokens int

	// attempts counts the caller's attempts. tried are the IDs of the engines to which the
	// newest one was sent.
	attempts int
	tried    []string
	// sequence is the request at an engine, nil if it was at none.
	sequence *Sequence
	ended    bool
	// firstTokenAt is when the first token was generated.
	firstTokenAt clock.Boot
	outcome      Outcome
	// offeredAt is when the newest attempt was handed to the policy.
	offeredAt clock.Boot
}

// Outcome is how a request ended.
type Outcome int

const (
	// Pending means that the request has not ended.
	Pending Outcome = iota
	// Served means that the caller received the whole answer.
	Served
	// Refused means that the last attempt of the caller was refused.
	Refused
	// TimedOut means that the caller left before it had the whole answer.
	TimedOut
)

// hasTried reports whether the newest attempt was already sent to the engine.
func (r *Request) hasTried(id string) bool {
	for _, triedID := range r.tried {
		if triedID == id {
			return true
		}
	}
	return false
}

// sharedParts returns the parts of the prompt that other requests may share: all but the
// last.
func (r *Request) sharedParts() []traffic.Part {
	return r.Prompt.Parts[:len(r.Prompt.Parts)-1]
}

// size returns the size of the request: its unique tokens plus 10 times its answer tokens.
func (r *Request) size() int {
	return r.UniqueTokens + 10*r.AnswerTokens
}

// inTime reports whether the caller got the answer and its first token arrived within the objective.
func (r *Request) inTime() bool {
	return r.outcome == Served && r.firstTokenAt.Sub(r.ArrivesAt) <= r.Kind.Objective
}
