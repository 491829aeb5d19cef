package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// ownRank returns the rank of this VM for reading the store.
func (g *Gateway) ownRank() gossip.Rank {
	return gossip.Rank{Capacity: g.settings.Capacity, TieBreaker: g.rankTieBreaker}
}

// bestReader is the best-ranked candidate for reading the store so far.
type bestReader struct {
	address string
	rank    gossip.Rank
}

// consider replaces the candidate if the given one ranks before it.
func (b *bestReader) consider(address string, rank gossip.Rank) {
	if rank.Before(b.rank) {
		b.address, b.rank = address, rank
	}
}

// Leader implements knowledge.PeerSource. In each failure domain, the best-ranked VM, which is
// one of those with the largest capacity, reads the store for the others. If no VM of the
// failure domain can read it, the VMs of all failure domains are ranked. VMs that temporarily
// disagree only cause an additional read. When the whole fleet starts, no VM can serve yet: the
// waiting VMs follow the one that will read first.
func (g *Gateway) Leader() (address string, ok bool) {
	var local, anywhere bestReader
	if !g.reader.StoreLost() && !g.stopping.Load() {
		local.consider(g.settings.IP, g.ownRank())
		anywhere.consider(g.settings.IP, g.ownRank())
	}
	now := clock.Now()
	awaitsFirst := g.awaitsFirstRead(now)
	g.members.ForEachAlive(now, func(member *gossip.Member) {
		report := &member.Report
		serves := member.CanLead || awaitsFirst || g.follower.RecentlyServed(report.Address, now)
		if !serves || g.follower.RecentlyFailed(report.Address, now) {
			return
		}
		anywhere.consider(report.Address, member.Rank)
		if report.FailureDomain == g.settings.FailureDomain {
			local.consider(report.Address, member.Rank)
		}
	})
	leader := local.address
	if leader == "" {
		leader = anywhere.address
	}
	return leader, leader != "" && leader != g.settings.IP
}

// shouldReadStore reports whether this VM currently reads the store itself: it ranks first, or
// the VM that reads for it does not respond. A VM that has just started waits for a moment.
func (g *Gateway) shouldReadStore() bool {
	if g.waitsAtStart() {
		return false
	}
	if _, follows := g.Leader(); !follows {
		return !g.coveredBySeed()
	}
	now := clock.Now()
	return g.follower.LeaderFailed(now) || g.tracker.Age(now) >= knowledge.StaleAfter
}

// probingVMs is the number of VMs of each failure domain that frequently try to reach a lost
// store.
const probingVMs = 3

// othersProbe reports whether enough VMs of the same failure domain rank before this one, so
// that this VM may probe a lost store less often.
func (g *Gateway) othersProbe() bool {
	return g.countBetterReaders(func(*gossip.Member) bool { return true }) >= probingVMs
}

// countBetterReaders counts the VMs of the same failure domain that rank before this one for
// reading the store and that accept selects.
func (g *Gateway) countBetterReaders(accept func(*gossip.Member) bool) int {
	better := 0
	own := g.ownRank()
	g.members.ForEachAlive(clock.Now(), func(member *gossip.Member) {
		if member.Report.FailureDomain == g.settings.FailureDomain && member.Rank.Before(own) && accept(member) {
			better++
		}
	})
	return better
}

// NewerPeer implements knowledge.PeerSource. It chooses among the peers at random, so that no
// single VM has to serve all others.
func (g *Gateway) NewerPeer(request knowledge.SyncRequest) (address string, ok bool) {
	var near, far randomChoice
	g.members.ForEachAlive(clock.Now(), func(member *gossip.Member) {
		switch {
		case !member.Report.Newest.After(request.Newest) && member.Report.ConfigVersion <= request.ConfigurationVersion:
		case member.Report.FailureDomain == g.settings.FailureDomain:
			near.add(member.Report.Address)
		default:
			far.add(member.Report.Address)
		}
	})
	if near.count > 0 {
		return near.address, true
	}
	return far.address, far.count > 0
}

// randomChoice holds one of the added addresses, each with equal probability.
type randomChoice struct {
	address string
	count   int
}

// add offers an address.
func (r *randomChoice) add(address string) {
	r.count++
	if rand.IntN(r.count) == 0 {
		r.address = address
	}
}

// FreshestPeer implements knowledge.PeerSource.
func (g *Gateway) FreshestPeer(era int64) (address string, age time.Duration, ok bool) {
	now := clock.Now()
	g.members.ForEachAlive(now, func(member *gossip.Member) {
		if member.Report.AgeMS < 0 || member.LastReported == 0 || member.Report.Newest.Era < era {
			return
		}
		reported := time.Duration(member.Report.AgeMS)*time.Millisecond + now.Sub(member.LastReported)
		if !ok || reported < age {
			address, age, ok = member.Report.Address, reported, true
		}
	})
	return address, age, ok
}

// FetchKnowledge implements knowledge.PeerSource.
func (g *Gateway) FetchKnowledge(ctx context.Context, address string, request knowledge.SyncRequest, wait time.Duration) (knowledge.SyncResponse, error) {
	return g.peers.Sync(ctx, address, request, wait)
}
