package emulator

import (
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// Request is one request of a caller, with all its attempts.
type Request struct {
	At        clock.Boot
	Kind      *Kind
	Workspace int
	// VM is where the caller's newest attempt arrived.
	VM     int
	Prompt traffic.Prompt
	// Own is the size of the own part and Answer that of the answer, in tokens.
	Own    int
	Answer int

	// attempts counts the caller's attempts, tried the engines of the newest one.
	attempts int
	tried    []string
	// run is the run in progress, nil if there is none.
	run   *Run
	ended bool
	// firstAt is when the first token came.
	firstAt clock.Boot
	fate    Fate
	// offered is when the way began with the newest attempt, held how long it held
	// refused ones back.
	offered clock.Boot
}

// Fate is what came of a request.
type Fate int

const (
	// Open means that the request had no end yet.
	Open Fate = iota
	// Served means that the caller has the whole answer.
	Served
	// Refused means that the caller was told so, and not served later.
	Refused
	// Late means that the caller left without the whole answer.
	Late
)

// hasTried reports whether the newest attempt was at the engine already.
func (r *Request) hasTried(id string) bool {
	for _, one := range r.tried {
		if one == id {
			return true
		}
	}
	return false
}

// shared returns the parts of the prompt before the request's own one.
func (r *Request) shared() []traffic.Part {
	return r.Prompt.Parts[:len(r.Prompt.Parts)-1]
}
