package knowledge

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// PeerSource asks another VM for its knowledge.
type PeerSource interface {
	// Freshest returns the address of the peer that should know most, and how
	// old its knowledge was told to be; ok is false if there is none.
	Freshest() (address string, age time.Duration, ok bool)
	// Ask returns the peer's changes from a number on.
	Ask(ctx context.Context, address string, incarnation, from int64) (Share, error)
}

const (
	// peerCheckPeriod is how often the age of the own knowledge is checked.
	peerCheckPeriod = 150 * time.Millisecond
	// peerAskTimeout bounds a question to a peer.
	peerAskTimeout = 600 * time.Millisecond
	// staleAfter is the age from which a peer is asked. The store confirms the
	// knowledge well before.
	staleAfter = watchWait*2 + 150*time.Millisecond
	// betterBy is how much younger a peer's knowledge must be.
	betterBy = 400 * time.Millisecond
)

// PeerReader feeds a Tracker from other VMs while the store does not.
type PeerReader struct {
	source      PeerSource
	tracker     *Tracker
	address     string
	incarnation int64
	next        int64
}

// NewPeerReader returns a PeerReader for the tracker.
func NewPeerReader(source PeerSource, tracker *Tracker) *PeerReader {
	return &PeerReader{source: source, tracker: tracker}
}

// Run checks the knowledge's age, and decides about held endpoints, until ctx
// ends.
func (p *PeerReader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, peerCheckPeriod)
		now := clock.Now()
		p.tracker.Decide(now)
		p.check(ctx, now)
	}
}

func (p *PeerReader) check(ctx context.Context, now clock.Boot) {
	age := p.tracker.Age(now)
	if age < staleAfter {
		return
	}
	address, told, ok := p.source.Freshest()
	if !ok || told+betterBy > age {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerAskTimeout)
	defer cancel()
	if address != p.address {
		p.address, p.incarnation, p.next = address, 0, 0
	}
	asked := clock.Now()
	share, err := p.source.Ask(ctx, address, p.incarnation, p.next)
	if err != nil {
		klog.InfoS("config: a peer does not tell what it knows", "peer", address, "reason", err.Error())
		return
	}
	p.tracker.Apply(share.update(asked), clock.Now())
	p.incarnation, p.next = share.Incarnation, share.Next
	klog.V(1).InfoS("config: confirmed by a peer", "peer", address, "revision", share.Revision, "age_ms", share.AgeMS)
}
