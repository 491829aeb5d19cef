package emulator

import "cardamompoint.example/cardamompoint/internal/clock"

// Sequence is a request at one engine.
type Sequence struct {
	request *Request
	engine  *Engine
	// readyAt is when the request arrived or its copies are complete. It orders the
	// sequences of equal priority.
	readyAt clock.Boot
	// prefillLeft is the number of prompt tokens left to prefill, generated the number of
	// generated tokens.
	prefillLeft int
	generated   int
	// reserved is the cache space that the sequence uses beside the cached parts, in
	// tokens. pinned are the IDs of the cached parts that it uses.
	reserved int
	pinned   []uint64
	// prefilled counts the prompt tokens that were prefilled for it.
	prefilled int
}

// before reports whether the sequence is scheduled before another one.
func (s *Sequence) before(other *Sequence) bool {
	if s.request.Kind.Priority != other.request.Kind.Priority {
		return s.request.Kind.Priority < other.request.Kind.Priority
	}
	return s.readyAt < other.readyAt
}
