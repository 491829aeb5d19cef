package emulator

import (
	"slices"
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
)

// The speed of an engine.
const (
	// A step takes baseStepTime, decodeStepTime for each token that it generates, and
	// prefillTokenTime for each prompt token that it prefills.
	baseStepTime     = 3790 * time.Microsecond
	decodeStepTime   = 50 * time.Microsecond
	prefillTokenTime = time.Second / 56_600
	// prefillChunkTokens is the number of prompt tokens that one step prefills at most.
	prefillChunkTokens = 512
	// Copying parts from another engine takes copySetupTime and copyTokenTime per token.
	copySetupTime = 8 * time.Millisecond
	copyTokenTime = time.Microsecond
)

// Engine is a model engine that runs requests in batches, up to one per slot.
type Engine struct {
	sim      *Simulation
	endpoint *traffic.Endpoint
	cache    *kvCache
	maxQueue int
	queue    []*Sequence
	running  []*Sequence
	// stepping reports whether a step is scheduled or in progress.
	stepping bool
	// busyTime is the total time of all steps.
	busyTime time.Duration
}

// load returns the number of requests that run or wait.
func (e *Engine) load() int {
	return len(e.running) + len(e.queue)
}

// submit queues a request and starts the copy of shared parts from another engine, if
// from is not nil. It returns false if all slots and the queue are full.
func (e *Engine) submit(r *Request, from *Engine) bool {
	if len(e.running) >= e.endpoint.Slots && len(e.queue) >= e.maxQueue {
		return false
	}
	seq := &Sequence{request: r, engine: e, readyAt: e.sim.now}
	r.sequence = seq
	e.queue = append(e.queue, seq)
	if from != nil {
		e.copyParts(seq, from)
	}
	e.scheduleStep(0)
	return true
}

// copyParts copies the shared parts that another engine has cached and this one has not.
// The sequence waits until the copy is done.
func (e *Engine) copyParts(seq *Sequence, from *Engine) {
	shared := seq.request.sharedParts()
	here, there := e.cache.prefixLength(shared), from.cache.prefixLength(shared)
	if there <= here {
		return
	}
	copied := shared[here:there]
	tokens := 0
	for _, part := range copied {
		tokens += part.Tokens
	}
	e.sim.result.CopiedTokens += tokens
	seq.readyAt = e.sim.now.Add(copySetupTime + time.Duration(tokens)*copyTokenTime)
	e.sim.after(seq.readyAt.Sub(e.sim.now), func() {
		if e.cache.prefixLength(shared) < there && e.cache.reserve(tokens) {
			e.cache.insert(copied, e.sim.now)
		}
		e.scheduleStep(0)
	})
}

// scheduleStep schedules a step after the given time unless one is scheduled or in
// progress.
func (e *Engine) scheduleStep(wait time.Duration) {
	if e.stepping {
		return
	}
	e.stepping = true
	e.sim.after(wait, e.step)
}

// step admits waiting sequences and runs one step of the batch. The engine becomes idle
// if there is nothing to run.
func (e *Engine) step() {
	e.admit()
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	took := baseStepTime
	for _, seq := range e.running {
		if seq.prefillLeft == 0 {
			took += decodeStepTime
		}
	}
	tokens := e.prefillChunk()
	took += time.Duration(tokens) * prefillTokenTime
	e.busyTime += took
	e.sim.after(took, e.finishStep)
}

// admit starts waiting sequences, the most urgent first, while there are free slots and
// cache space.
func (e *Engine) admit() {
	slices.SortStableFunc(e.queue, func(a, b *Sequence) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	waiting := e.queue[:0]
	for i, seq := range e.queue {
		if seq.readyAt > e.sim.now {
			waiting = append(waiting, seq)
			continue
		}
		if len(e.running) >= e.endpoint.Slots || !e.start(seq) {
			waiting = append(waiting, e.queue[i:]...)
			break
		}
	}
	e.queue = waiting
}

// start pins the cached parts of a sequence's prompt and reserves space for the rest. It
// returns false if there is not enough space.
func (e *Engine) start(seq *Sequence) bool {
	shared := seq.request.sharedParts()
	seq.pinned = e.cache.pin(shared, e.sim.now)
	seq.prefillLeft = e.cache.missingTokens(shared) + seq.request.UniqueTokens
	tokens := seq.prefillLeft + seq.generated
	if !e.cache.reserve(tokens) {
		e.cache.unpin(seq.pinned)
		seq.pinned = nil
		return false
	}
	seq.reserved = tokens
	e.running = append(e.running, seq)
	return true
}

// prefillChunk prefills a chunk of the most urgent prompt that is not prefilled yet, and
// returns the number of tokens.
func (e *Engine) prefillChunk() int {
	var first *Sequence
	for _, seq := range e.running {
		if seq.prefillLeft > 0 && (first == nil || seq.before(first)) {
			first = seq
		}
	}
	if first == nil {
		return 0
	}
	tokens := min(prefillChunkTokens, first.prefillLeft)
	first.prefillLeft -= tokens
	first.prefilled += tokens
	if first.prefillLeft == 0 {
		e.finishPrefill(first)
	}
	return tokens
}

// finishPrefill moves the shared parts that were prefilled into the cache.
func (e *Engine) finishPrefill(seq *Sequence) {
	shared := seq.request.sharedParts()
	computed := shared[len(seq.pinned):]
	for _, part := range computed {
		seq.reserved -= part.Tokens
		e.sim.result.SharedPrefillTokens += part.Tokens
	}
	e.cache.insert(computed, e.sim.now)
	e.cache.unpin(seq.pinned)
	seq.pinned = e.cache.pin(shared, e.sim.now)
}

// finishStep generates the next token of each sequence whose prompt is prefilled, and
// begins the next step.
func (e *Engine) finishStep() {
	for _, seq := range slices.Clone(e.running) {
		if seq.prefillLeft > 0 || !slices.Contains(e.running, seq) {
			continue
		}
		if !e.cache.reserve(1) && !e.preempt(seq) {
			continue
		}
		seq.reserved++
		seq.generated++
		e.sim.recordToken(seq)
	}
	e.step()
}

// preempt returns the newest of the least urgent sequences to the queue, to free space
// for a token of seq. It returns false if that is seq itself or the space is not enough.
func (e *Engine) preempt(seq *Sequence) bool {
	last := slices.MaxFunc(e.running, func(a, b *Sequence) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	e.release(last)
	e.queue = append(e.queue, last)
	if last == seq {
		return false
	}
	return e.cache.reserve(1)
}

// release removes a sequence from the batch and frees its space.
func (e *Engine) release(seq *Sequence) {
	e.running = slices.DeleteFunc(e.running, func(other *Sequence) bool { return other == seq })
	e.cache.free(seq.reserved)
	e.cache.unpin(seq.pinned)
	seq.reserved, seq.pinned = 0, nil
}

// remove removes a sequence that is finished or whose caller has left.
func (e *Engine) remove(seq *Sequence) {
	if slices.Contains(e.running, seq) {
		e.release(seq)
		return
	}
	e.queue = slices.DeleteFunc(e.queue, func(other *Sequence) bool { return other == seq })
}
