package emulator

import "cardamompoint.example/cardamompoint/internal/clock"

// Run is a request at one engine.
type Run struct {
	request *Request
	engine  *Engine
	// came orders the runs of one priority.
	came clock.Boot
	// unread is the number of prompt tokens that are left to read, made the number of
	// tokens of the answer.
	unread int
	made   int
	// room is the memory that the run takes by itself, held are the kept parts that it
	// uses.
	room int
	held []uint64
	// read counts the prompt tokens that were read for it.
	read int
}

// before reports whether the run goes before another one.
func (r *Run) before(other *Run) bool {
	if r.request.Kind.Priority != other.request.Kind.Priority {
		return r.request.Kind.Priority < other.request.Kind.Priority
	}
	return r.came < other.came
}
