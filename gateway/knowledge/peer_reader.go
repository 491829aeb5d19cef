package knowledge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// PeerSource asks other VMs for their knowledge.
type PeerSource interface {
	// Leader returns the VM that reads the store for this one; ok is false if
	// this VM reads for itself.
	Leader() (address string, ok bool)
	// Newer returns a VM that has applied a change newer than the given revision.
	NewerPeer(newest int64) (address string, ok bool)
	// Freshest returns the VM whose knowledge was confirmed last, and how old it
	// was told to be; ok is false if there is none.
	FreshestPeer() (address string, age time.Duration, ok bool)
	// Ask returns what a VM knows beyond the question. The VM waits up to wait for
	// a change or a newer confirmation.
	FetchKnowledge(ctx context.Context, address string, request SyncRequest, wait time.Duration) (SyncResponse, error)
}

const (
	// peerCheckPeriod is how often it is looked for newer knowledge.
	peerCheckPeriod = 100 * time.Millisecond
	// peerAskTimeout bounds a question to a VM beyond its wait.
	peerTimeout = 400 * time.Millisecond
	// followWait is how long the VM that reads the store may wait.
	followWait = watchWait + 100*time.Millisecond
	// failedPause is how long a VM reads for itself after the one that reads for
	// it has failed.
	leaderRetryPause = time.Second
	// avoidPause is how long another VM is preferred to one that did not answer.
	avoidFailedPeer = 5 * time.Second
	// StaleAfter is the age from which the own source has failed: a read confirms
	// the knowledge of its beginning, and is followed by the next one.
	StaleAfter = 2*watchWait + 150*time.Millisecond
	// behindTime is how long another VM must have known more before it is asked:
	// the usual way takes as long.
	behindThreshold = 250 * time.Millisecond
	// betterBy is how much younger another VM's knowledge must be.
	minAgeImprovement = 400 * time.Millisecond
)

// PeerReader feeds a Tracker from other VMs: from the one that reads the store
// for this VM, and from any that knows more.
type PeerReader struct {
	source  PeerSource
	tracker *Tracker

	// behindSince is when another VM was first found to know more.
	behindSince clock.Boot

	mu sync.Mutex
	// failedPeer is the VM that did not answer last, until failedPeerUntil.
	failedPeer      string
	failedPeerUntil clock.Boot
	// servedPeer is the VM that brought fresh knowledge last, until servedPeerUntil.
	freshPeer      string
	freshPeerUntil clock.Boot
	// lostAt is since when no VM has read the store for this one, 0 if one does.
	leaderLostAt clock.Boot
	// failedUntil is the time up to which this VM reads for itself.
	failedUntil atomic.Int64
}

// NewPeerReader returns a PeerReader for the tracker.
func NewPeerReader(source PeerSource, tracker *Tracker) *PeerReader {
	return &PeerReader{source: source, tracker: tracker}
}

// Failed reports whether the VM that reads for this one did not answer lately.
func (p *PeerReader) LeaderFailed(now clock.Boot) bool {
	return int64(now) < p.failedUntil.Load()
}

// fail notes that a VM did not answer.
func (p *PeerReader) recordFailure(address string, now clock.Boot) {
	p.failedUntil.Store(int64(now.Add(leaderRetryPause)))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failedPeer, p.failedPeerUntil = address, now.Add(avoidFailedPeer)
	if p.leaderLostAt == 0 {
		p.leaderLostAt = now
	}
}

// served notes that a VM has read the store for this one.
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
		klog.InfoS("config: a peer reads the store for this VM again", "peer", address, "lost_ms", now.Sub(lostAt).Milliseconds())
	}
}

// FailedAt reports whether a VM was asked lately and did not answer.
func (p *PeerReader) RecentlyFailed(address string, now clock.Boot) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return address == p.failedPeer && now < p.failedPeerUntil
}

// ServedBy reports whether a VM has read the store for this one lately.
func (p *PeerReader) RecentlyServed(address string, now clock.Boot) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return address == p.freshPeer && now < p.freshPeerUntil
}

// Follow keeps asking the VM that reads the store for this one, until ctx ends.
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
			klog.InfoS("config: the peer that reads the store is lost", "peer", address, "reason", err.Error())
		}
		if err == nil {
			p.recordSuccess(address, clock.Now())
		}
	}
}

// Run looks for VMs that know more, and decides about held endpoints, until ctx
// ends.
func (p *PeerReader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, peerCheckPeriod)
		now := clock.Now()
		p.tracker.ExpireHeld(now)
		p.catchUp(ctx, now)
	}
}

func (p *PeerReader) catchUp(ctx context.Context, now clock.Boot) {
	address, ok := p.source.NewerPeer(p.tracker.NewestRevision())
	ok = p.behindFor(ok, now) >= behindThreshold
	if age := p.tracker.Age(now); !ok && age >= StaleAfter {
		var reportedAge time.Duration
		address, reportedAge, ok = p.source.FreshestPeer()
		ok = ok && reportedAge+minAgeImprovement <= age
	}
	if !ok {
		return
	}
	if err := p.fetch(ctx, address, 0); err != nil && ctx.Err() == nil {
		klog.InfoS("config: a peer does not tell what it knows", "peer", address, "reason", err.Error())
	}
}

// ask asks one VM and takes in what it tells.
func (p *PeerReader) fetch(ctx context.Context, address string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+peerTimeout)
	defer cancel()
	requestedAt := clock.Now()
	response, err := p.source.FetchKnowledge(ctx, address, p.tracker.SyncRequest(), wait)
	if err != nil {
		return err
	}
	update, err := response.update(requestedAt)
	if err != nil {
		return err
	}
	p.tracker.Apply(update, clock.Now())
	return nil
}

// AskOnce asks one VM for what it knows and takes that in.
func (p *PeerReader) FetchOnce(ctx context.Context, address string) error {
	return p.fetch(ctx, address, 0)
}

// behindFor returns for how long other VMs have known more.
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
