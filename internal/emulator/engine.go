package emulator

import (
	"slices"
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
)

// The speed of an engine.
const (
	stepTime        = 3790 * time.Microsecond
	stepTimeRunning = 50 * time.Microsecond
	readTokenTime   = time.Second / 56_600
	// readPiece is the number of prompt tokens that one step reads at most.
	readPiece = 512
	// copySetUp and copyTokenTime are the cost of parts from another engine.
	copySetUp     = 8 * time.Millisecond
	copyTokenTime = time.Microsecond
)

// Engine runs requests in batches.
type Engine struct {
	fleet    *Fleet
	endpoint *traffic.Endpoint
	memory   *memory
	queueLen int
	queue    []*Run
	running  []*Run
	stepping bool
	// busy is how long the engine has worked.
	busy time.Duration
}

// load is the number of requests that run or wait.
func (e *Engine) load() int {
	return len(e.running) + len(e.queue)
}

// submit takes a request, or returns false if the engine is full.
func (e *Engine) submit(r *Request, from *Engine) bool {
	if len(e.running) >= e.endpoint.Slots && len(e.queue) >= e.queueLen {
		return false
	}
	run := &Run{request: r, engine: e, came: e.fleet.now}
	r.run = run
	e.queue = append(e.queue, run)
	if from != nil {
		e.fetch(run, from)
	}
	e.wake(0)
	return true
}

// fetch copies the shared parts that another engine keeps.
func (e *Engine) fetch(run *Run, from *Engine) {
	shared := run.request.shared()
	here, there := e.memory.kept(shared), from.memory.kept(shared)
	if there <= here {
		return
	}
	copied := shared[here:there]
	tokens := 0
	for _, part := range copied {
		tokens += part.Tokens
	}
	e.fleet.result.Copied += tokens
	run.came = e.fleet.now.Add(copySetUp + time.Duration(tokens)*copyTokenTime)
	e.fleet.after(run.came.Sub(e.fleet.now), func() {
		if e.memory.kept(shared) < there && e.memory.take(tokens) {
			e.memory.keep(copied, e.fleet.now)
		}
		e.wake(0)
	})
}

// wake begins a step unless one is in progress.
func (e *Engine) wake(wait time.Duration) {
	if e.stepping {
		return
	}
	e.stepping = true
	e.fleet.after(wait, e.step)
}

// step lets all running requests go on.
func (e *Engine) step() {
	e.admit()
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	took := stepTime
	for _, run := range e.running {
		if run.unread == 0 {
			took += stepTimeRunning
		}
	}
	read := e.readSome()
	took += time.Duration(read) * readTokenTime
	e.busy += took
	e.fleet.after(took, e.finishStep)
}

// admit lets waiting requests run, the most urgent first.
func (e *Engine) admit() {
	slices.SortStableFunc(e.queue, func(a, b *Run) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	waiting := e.queue[:0]
	for i, run := range e.queue {
		if run.came > e.fleet.now {
			waiting = append(waiting, run)
			continue
		}
		if len(e.running) >= e.endpoint.Slots || !e.begin(run) {
			waiting = append(waiting, e.queue[i:]...)
			break
		}
	}
	e.queue = waiting
}

// begin takes memory for a request.
func (e *Engine) begin(run *Run) bool {
	shared := run.request.shared()
	run.held = e.memory.hold(shared, e.fleet.now)
	run.unread = e.memory.missing(shared) + run.request.Own
	room := run.unread + run.made
	if !e.memory.take(room) {
		e.memory.release(run.held)
		run.held = nil
		return false
	}
	run.room = room
	e.running = append(e.running, run)
	return true
}

// readSome reads a part of the most urgent prompt that is not read yet.
func (e *Engine) readSome() int {
	var first *Run
	for _, run := range e.running {
		if run.unread > 0 && (first == nil || run.before(first)) {
			first = run
		}
	}
	if first == nil {
		return 0
	}
	read := min(readPiece, first.unread)
	first.unread -= read
	first.read += read
	if first.unread == 0 {
		e.prompted(first)
	}
	return read
}

// prompted keeps the shared parts of a prompt that was read.
func (e *Engine) prompted(run *Run) {
	shared := run.request.shared()
	fresh := shared[len(run.held):]
	for _, part := range fresh {
		run.room -= part.Tokens
		e.fleet.result.SharedRead += part.Tokens
	}
	e.memory.keep(fresh, e.fleet.now)
	e.memory.release(run.held)
	run.held = e.memory.hold(shared, e.fleet.now)
}

// finishStep gives each request whose prompt is read its next token.
func (e *Engine) finishStep() {
	for _, run := range slices.Clone(e.running) {
		if run.unread > 0 || !slices.Contains(e.running, run) {
			continue
		}
		if !e.memory.take(1) && !e.preempt(run) {
			continue
		}
		run.room++
		run.made++
		e.fleet.token(run)
	}
	e.step()
}

// preempt lets the newest of the least urgent requests wait again. It returns false
// if that is the run itself.
func (e *Engine) preempt(run *Run) bool {
	last := slices.MaxFunc(e.running, func(a, b *Run) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	e.leave(last)
	e.queue = append(e.queue, last)
	if last == run {
		return false
	}
	return e.memory.take(1)
}

// leave gives back what a running request uses.
func (e *Engine) leave(run *Run) {
	e.running = slices.DeleteFunc(e.running, func(one *Run) bool { return one == run })
	e.memory.give(run.room)
	e.memory.release(run.held)
	run.room, run.held = 0, nil
}

// drop ends a request for which nobody waits any more, or that is done.
func (e *Engine) drop(run *Run) {
	if slices.Contains(e.running, run) {
		e.leave(run)
		return
	}
	e.queue = slices.DeleteFunc(e.queue, func(one *Run) bool { return one == run })
}
