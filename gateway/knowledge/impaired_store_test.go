package knowledge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/platform"
)

// storeFault is how the store treats a call.
type storeFault int

const (
	faultNone storeFault = iota
	// faultBusy answers at once that nothing was done.
	faultBusy
	// faultSilent does not answer.
	faultSilent
)

// watchPoll is the time between two looks for changes of a watch in virtual time.
const watchPoll = 10 * time.Millisecond

// impairedStore is a modelStore that can be away, be slow, refuse some VMs, lose answers and drop its
// history.
type impairedStore struct {
	*modelStore
	mu sync.Mutex
	// fault is the fault of all calls, refused the one of the calls of single VMs.
	fault   storeFault
	refused map[int]storeFault
	// minDelay and maxDelay bound the time of an answer.
	minDelay, maxDelay time.Duration
	// lostAnswers is the share of the answers that are lost.
	lostAnswers float64
	// droppedUpTo is the revision up to which the history is dropped.
	droppedUpTo int64
	// copied is the revision of the copy that the store came back from last.
	copied int64
	// calls counts the calls of VMs.
	calls int
}

func newImpairedStore() *impairedStore {
	return &impairedStore{modelStore: newModelStore(), refused: map[int]storeFault{}}
}

// set changes the impairments.
func (s *impairedStore) set(change func(*impairedStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// away reports whether the store is away for all.
func (s *impairedStore) away() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault != faultNone
}

// dropHistory drops the history up to now.
func (s *impairedStore) dropHistory() {
	revision := s.position().Revision
	s.set(func(s *impairedStore) { s.droppedUpTo = revision })
}

// restoreFrom lets the store come back from a copy.
func (s *impairedStore) restoreFrom(copied storeCopy) {
	s.restore(copied)
	s.set(func(s *impairedStore) { s.fault, s.droppedUpTo, s.copied = faultNone, 0, copied.revision })
}

// writtenSinceRestore reports whether the entry of an endpoint was written since the store came back
// from a copy, if it ever did.
func (s *impairedStore) writtenSinceRestore(id string) bool {
	s.mu.Lock()
	copied := s.copied
	s.mu.Unlock()
	endpoint := s.endpoint(id)
	return endpoint != nil && endpoint.Position.Revision > copied
}

// faultOf returns the fault that a call of a VM meets now.
func (s *impairedStore) faultOf(vm int) storeFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.fault, s.refused[vm])
}

// port is the store as one VM sees it.
type port struct {
	store *impairedStore
	vm    int
	mu    sync.Mutex
	// random draws delays and losses.
	random *rand.Rand
}

// check fails a call that meets a fault.
func (p *port) check(ctx context.Context) error {
	switch p.store.faultOf(p.vm) {
	case faultBusy:
		return code.New(code.PlatformSilent, "busy")
	case faultSilent:
		<-ctx.Done()
		return code.New(code.PlatformSilent, "silent")
	default:
		return nil
	}
}

// begin counts a call and fails it if it meets a fault.
func (p *port) begin(ctx context.Context) error {
	p.store.set(func(s *impairedStore) { s.calls++ })
	return p.check(ctx)
}

// end delays or loses the answer of a call.
func (p *port) end(ctx context.Context) error {
	p.store.mu.Lock()
	minDelay, maxDelay, lostAnswers := p.store.minDelay, p.store.maxDelay, p.store.lostAnswers
	p.store.mu.Unlock()
	p.mu.Lock()
	lost := p.random.Float64() < lostAnswers
	delay := minDelay + time.Duration(p.random.Float64()*float64(maxDelay-minDelay))
	p.mu.Unlock()
	if lost {
		<-ctx.Done()
	}
	clock.Sleep(ctx, delay)
	if ctx.Err() != nil {
		return code.New(code.PlatformSilent, "no answer in time")
	}
	return p.check(ctx)
}

func (p *port) Range(ctx context.Context, prefix, after string) (platform.Page, error) {
	if err := p.begin(ctx); err != nil {
		return platform.Page{}, err
	}
	page, err := p.store.Range(ctx, prefix, after)
	if err != nil {
		return page, err
	}
	return page, p.end(ctx)
}

func (p *port) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.Changes, error) {
	if err := p.begin(ctx); err != nil {
		return platform.Changes{}, err
	}
	for end := clock.Now().Add(wait); ; clock.Sleep(ctx, watchPoll) {
		if err := p.check(ctx); err != nil {
			return platform.Changes{}, err
		}
		changes, err := p.look(after)
		if err != nil {
			return changes, err
		}
		if len(changes.Items) > 0 || clock.Now() >= end || ctx.Err() != nil {
			return changes, p.end(ctx)
		}
	}
}

// look returns the changes after a revision.
func (p *port) look(after int64) (platform.Changes, error) {
	p.store.mu.Lock()
	dropped := p.store.droppedUpTo
	p.store.mu.Unlock()
	if after < dropped {
		return platform.Changes{}, code.New(code.SnapshotTooOld, "the history is dropped")
	}
	return p.store.since(after)
}

func (p *port) Reset() {}
