package knowledge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// PeerSource selects other VMs and fetches their data. Its methods must be safe for
// concurrent use.
type PeerSource interface {
	// Leader returns the VM that reads the store for this one; ok is false if this VM
	// reads it itself.
	Leader() (address string, ok bool)
	// NewerPeer returns a VM that has applied a change or a configuration that the sender
	// of request lacks; ok is false if there is none.
	NewerPeer(request SyncRequest) (address string, ok bool)
	// FreshestPeer returns the VM whose data of the given era, or of a later one, was
	// confirmed last, and the age of that data by the VM's reports; ok is false if there is
	// none.
	FreshestPeer(era int64) (address string, age time.Duration, ok bool)
	// FetchKnowledge sends a request to a VM. The VM waits up to wait for a change or a
	// newer confirmation before it responds.
	FetchKnowledge(ctx context.Context, address string, request SyncRequest, wait time.Duration) (SyncResponse, error)
}

const (
	// peerCheckPeriod is the time between two checks for VMs with newer data.
	peerCheckPeriod = 100 * time.Millisecond
	// peerTimeout is the timeout of a request to a VM in addition to its wait.
	peerTimeout = 400 * time.Millisecond
	// followWait is how long the leader may wait for a change before it responds: a
	// little longer than its own watch.
	followWait = watchWait + 100*time.Millisecond
	// leaderRetryPause is how long a VM reads the store itself after its leader failed.
	leaderRetryPause = time.Second
	// failedPeerAvoidance is how long a VM that did not answer is not used as leader.
	failedPeerAvoidance = 5 * time.Second
	// StaleAfter is the age of the data from which the source of updates counts as
	// failed. A watch confirms the data as of its start, so the age reaches the
	// duration of two watches in normal operation.
	StaleAfter = 2*watchWait + 150*time.Millisecond
	// behindThreshold is how long another VM must have had newer data before this one
	// fetches it: updates take that long to arrive through the leader.
	behindThreshold = 250 * time.Millisecond
	// minAgeImprovement is how much younger another VM's data must be to be fetched.
	minAgeImprovement = 400 * time.Millisecond
)

// PeerReader feeds a Tracker from other VMs: from the leader, which reads the store for this
// VM, and from any VM with newer data. It is safe for concurrent use; FollowLeader and Run
// each run in one goroutine.
type PeerReader struct {
	source  PeerSource
	tracker *Tracker

	// behindSince is when another VM was first found to have newer data, 0 if none has.
	// Only Run uses it.
	behindSince clock.Boot

	mu sync.Mutex
	// failedPeer is the last VM that did not answer; it is avoided until
	// failedPeerUntil.
	failedPeer      string
	failedPeerUntil clock.Boot
	// freshPeer is the last VM that provided fresh data; that counts until
	// freshPeerUntil.
	freshPeer      string
	freshPeerUntil clock.Boot
	// leaderLostAt is when the leader stopped answering, 0 if it answers.
	leaderLostAt clock.Boot
	// failedUntil is the clock.Boot up to which this VM reads the store itself.
	failedUntil atomic.Int64
}

// NewPeerReader returns a PeerReader for the tracker.
func NewPeerReader(source PeerSource, tracker *Tracker) *PeerReader {
	return &PeerReader{source: source, tracker: tracker}
}

// LeaderFailed reports whether the leader failed to answer within the last
// leaderRetryPause.
func (p *PeerReader) LeaderFailed(now clock.Boot) bool {
	return int64(now) < p.failedUntil.Load()
}

// recordFailure records that the leader did not answer.
func (p *PeerReader) recordFailure(address string, now clock.Boot) {
	p.failedUntil.Store(int64(now.Add(leaderRetryPause)))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failedPeer, p.failedPeerUntil = address, now.Add(failedPeerAvoidance)
	if p.leaderLostAt == 0 {
		p.leaderLostAt = now
	}
}

// recordSuccess records that the leader answered.
func (p *PeerReader) recordSuccess(address string, now clock.Boot) {
	fresh := p.tracker.Age(now) < StaleAfter
	p.mu.Lock()
	lostAt := p.leaderLostAt
	p.leaderLostAt = 0
	if fresh {
		p.freshPeer, p.freshPeerUntil = address, now.Add(StaleAfter)
	}
	p.mu.Unlock()
	if lostAt != 0 {
		klog.InfoS("config: leader is available again", "peer", address, "lost_ms", now.Sub(lostAt).Milliseconds())
	}
}

// RecentlyFailed reports whether the VM at address recently failed to answer as leader.
func (p *PeerReader) RecentlyFailed(address string, now clock.Boot) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return address == p.failedPeer && now < p.failedPeerUntil
}

// RecentlyServed reports whether the VM at address recently provided fresh data as leader.
func (p *PeerReader) RecentlyServed(address string, now clock.Boot) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return address == p.freshPeer && now < p.freshPeerUntil
}

// FollowLeader keeps fetching data from the leader until ctx ends.
func (p *PeerReader) FollowLeader(ctx context.Context) {
	for ctx.Err() == nil {
		now := clock.Now()
		address, ok := p.source.Leader()
		if !ok || p.LeaderFailed(now) {
			clock.Sleep(ctx, peerCheckPeriod)
			continue
		}
		err := p.fetch(ctx, address, followWait)
		if err != nil && ctx.Err() == nil {
			p.recordFailure(address, clock.Now())
			klog.InfoS("config: leader does not answer", "peer", address, "reason", err.Error())
		}
		if err == nil {
			p.recordSuccess(address, clock.Now())
		}
	}
}

// Run fetches data from VMs that have newer data, and settles held and doubted entries, until ctx
// ends.
func (p *PeerReader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, peerCheckPeriod)
		now := clock.Now()
		p.tracker.Expire(now)
		p.catchUp(ctx, now)
	}
}

// catchUp fetches data from a VM if another one has had newer data for behindThreshold. If the
// data is stale, it fetches from the VM with the freshest data, provided that this is younger
// by minAgeImprovement.
func (p *PeerReader) catchUp(ctx context.Context, now clock.Boot) {
	known := p.tracker.SyncRequest()
	address, ok := p.source.NewerPeer(known)
	ok = p.behindFor(ok, now) >= behindThreshold
	if age := p.tracker.Age(now); !ok && age >= StaleAfter {
		var reportedAge time.Duration
		address, reportedAge, ok = p.source.FreshestPeer(known.Position.Era)
		ok = ok && reportedAge+minAgeImprovement <= age
	}
	if !ok {
		return
	}
	if err := p.fetch(ctx, address, 0); err != nil && ctx.Err() == nil {
		klog.InfoS("config: fetching knowledge from a peer failed", "peer", address, "reason", err.Error())
	}
}

// fetch sends a request to one VM and applies its response.
func (p *PeerReader) fetch(ctx context.Context, address string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+peerTimeout)
	defer cancel()
	requestedAt := clock.Now()
	response, err := p.source.FetchKnowledge(ctx, address, p.tracker.SyncRequest(), wait)
	if err != nil {
		return err
	}
	receivedAt := clock.Now()
	update, err := response.update(requestedAt, receivedAt)
	if err != nil {
		return err
	}
	p.tracker.Apply(update, receivedAt)
	return nil
}

// FetchOnce requests data from one VM, without a wait, and applies the response.
func (p *PeerReader) FetchOnce(ctx context.Context, address string) error {
	return p.fetch(ctx, address, 0)
}

// behindFor records whether another VM has newer data now and returns for how long any has
// had.
func (p *PeerReader) behindFor(behind bool, now clock.Boot) time.Duration {
	if !behind {
		p.behindSince = 0
		return 0
	}
	if p.behindSince == 0 {
		p.behindSince = now
	}
	return now.Sub(p.behindSince)
}
