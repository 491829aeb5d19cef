package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/gateway/news"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// ownRank is the rank of this VM for reading the store.
func (g *Gateway) ownRank() news.Rank {
	return news.Rank{Capacity: g.settings.Capacity, TieBreaker: g.rankDraw}
}

// bestReader is the best reader of some VMs that was found so far.
type bestReader struct {
	address string
	rank    news.Rank
}

func (c *bestReader) consider(address string, rank news.Rank) {
	if rank.Before(c.rank) {
		c.address, c.rank = address, rank
	}
}

// Leader implements knowledge.PeerSource. In each failure domain the VM that
// ranks first of those with the largest capacity reads the store for the others.
// Where none can, the VMs of all domains are ranked. VMs that disagree for a moment
// read once too often. When the whole fleet starts, none can yet: those that wait ask the
// one that will.
func (g *Gateway) Leader() (address string, ok bool) {
	var local, anywhere bestReader
	if !g.reader.StoreLost() && !g.stopping.Load() {
		local.consider(g.settings.IP, g.ownRank())
		anywhere.consider(g.settings.IP, g.ownRank())
	}
	now := clock.Now()
	starts := g.awaitsFirstRead(now)
	g.members.ForEachAlive(now, func(member *news.Member) {
		report := &member.Report
		serves := member.CanLead || starts || g.follower.RecentlyServed(report.Address, now)
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

// shouldReadStore reports whether this VM reads the store now: it ranks first, or the
// one that reads for it does not answer. A VM that has just started waits for a
// moment.
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

// probingVMs is the number of VMs of each failure domain that try often to reach a lost
// store.
const probingVMs = 3

// othersProbe reports whether enough VMs of the own failure domain rank before this one.
func (g *Gateway) othersProbe() bool {
	return g.countBetterReaders(func(*news.Member) bool { return true }) >= probingVMs
}

// countBetterReaders counts the VMs of the own failure domain that rank before this one for
// reading the store and that counts accepts.
func (g *Gateway) countBetterReaders(accept func(*news.Member) bool) int {
	better := 0
	own := g.ownRank()
	g.members.ForEachAlive(clock.Now(), func(member *news.Member) {
		if member.Report.FailureDomain == g.settings.FailureDomain && member.Rank.Before(own) && accept(member) {
			better++
		}
	})
	return better
}

// NewerPeer implements knowledge.PeerSource. Each VM asks another one, so that none has to
// answer all.
func (g *Gateway) NewerPeer(newest int64) (address string, ok bool) {
	var near, far randomChoice
	g.members.ForEachAlive(clock.Now(), func(member *news.Member) {
		switch {
		case member.Report.NewestRevision <= newest:
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

// randomChoice is one of the addresses that were offered, each as likely as any other.
type randomChoice struct {
	address string
	count   int
}

func (d *randomChoice) add(address string) {
	d.count++
	if rand.IntN(d.count) == 0 {
		d.address = address
	}
}

// FreshestPeer implements knowledge.PeerSource.
func (g *Gateway) FreshestPeer() (address string, age time.Duration, ok bool) {
	now := clock.Now()
	g.members.ForEachAlive(now, func(member *news.Member) {
		if member.Report.AgeMS < 0 || member.LastReported == 0 {
			return
		}
		told := time.Duration(member.Report.AgeMS)*time.Millisecond + now.Sub(member.LastReported)
		if !ok || told < age {
			address, age, ok = member.Report.Address, told, true
		}
	})
	return address, age, ok
}

// FetchKnowledge implements knowledge.PeerSource.
func (g *Gateway) FetchKnowledge(ctx context.Context, address string, question knowledge.SyncRequest, wait time.Duration) (knowledge.SyncResponse, error) {
	return g.peers.Knowledge(ctx, address, question, wait)
}
