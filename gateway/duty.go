package gateway

import (
	"context"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/knowledge"
	"cardamompoint.example/cardamompoint/news"
	"cardamompoint.example/cardamompoint/rank"
)

// readerKey ranks the VMs for reading the store.
const readerKey = "reader"

// Leader implements knowledge.PeerSource. In each failure domain the VM that
// ranks first reads the store for the others. Where none can, the VMs of all
// domains are ranked. VMs that disagree for a moment read once too often.
func (g *Gateway) Leader() (address string, ok bool) {
	alive := g.members.Alive(clock.Now())
	leader := g.rankReaders(alive, func(domain string) bool { return domain == g.settings.FailureDomain })
	if leader == "" {
		leader = g.rankReaders(alive, func(string) bool { return true })
	}
	return leader, leader != "" && leader != g.settings.IP
}

// rankReaders returns the VM that ranks first among those that the store serves
// in the wanted domains, "" if there is none.
func (g *Gateway) rankReaders(alive []news.Member, wanted func(domain string) bool) string {
	leader, best := "", uint64(0)
	consider := func(address, domain string, serves bool) {
		if draw := rank.Key(readerKey, address); serves && wanted(domain) && draw > best {
			leader, best = address, draw
		}
	}
	consider(g.settings.IP, g.settings.FailureDomain, !g.reader.Lost() && !g.stopping.Load())
	for _, member := range alive {
		report := &member.Report
		consider(report.Address, report.FailureDomain, !report.StoreLost && report.AgeMS >= 0)
	}
	return leader
}

// readsStore reports whether this VM reads the store now: it ranks first, or the
// one that reads for it does not answer.
func (g *Gateway) readsStore() bool {
	if _, follows := g.Leader(); !follows {
		return true
	}
	now := clock.Now()
	return g.follower.Failed(now) || g.tracker.Age(now) >= knowledge.StaleAfter
}

// Newer implements knowledge.PeerSource.
func (g *Gateway) Newer(newest int64) (address string, ok bool) {
	for _, member := range g.members.Alive(clock.Now()) {
		if member.Report.Newest > newest {
			return member.Report.Address, true
		}
	}
	return "", false
}

// Freshest implements knowledge.PeerSource.
func (g *Gateway) Freshest() (address string, age time.Duration, ok bool) {
	now := clock.Now()
	for _, member := range g.members.Alive(now) {
		if member.Report.AgeMS < 0 {
			continue
		}
		told := time.Duration(member.Report.AgeMS)*time.Millisecond + now.Sub(member.Heard)
		if !ok || told < age {
			address, age, ok = member.Report.Address, told, true
		}
	}
	return address, age, ok
}

// Ask implements knowledge.PeerSource.
func (g *Gateway) Ask(ctx context.Context, address string, incarnation, from int64, wait time.Duration) (knowledge.Share, error) {
	return g.peers.Knowledge(ctx, address, incarnation, from, wait)
}
