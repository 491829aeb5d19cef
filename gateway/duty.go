package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/knowledge"
	"cardamompoint.example/cardamompoint/news"
	"cardamompoint.example/cardamompoint/rank"
)

// readerKey ranks the VMs for reading the store.
const readerKey = "reader"

// readerRank orders the VMs for reading the store: by capacity, then by draw. The
// zero value is behind all.
type readerRank struct {
	capacity int
	draw     uint64
}

func newReaderRank(address string, capacity int) readerRank {
	return readerRank{capacity, rank.Key(readerKey, address)}
}

func (r readerRank) before(other readerRank) bool {
	if r.capacity != other.capacity {
		return r.capacity > other.capacity
	}
	return r.draw > other.draw
}

// Leader implements knowledge.PeerSource. In each failure domain the VM that
// ranks first of those with the largest capacity reads the store for the others.
// Where none can, the VMs of all domains are ranked. VMs that disagree for a moment
// read once too often.
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
	leader, best := "", readerRank{}
	consider := func(address, domain string, capacity int, serves bool) {
		own := newReaderRank(address, capacity)
		if serves && wanted(domain) && own.before(best) {
			leader, best = address, own
		}
	}
	consider(g.settings.IP, g.settings.FailureDomain, g.settings.Capacity, !g.reader.Lost() && !g.stopping.Load())
	for _, member := range alive {
		report := &member.Report
		serves := !report.StoreLost && report.AgeMS >= 0 && !g.follower.FailedAt(report.Address, clock.Now())
		consider(report.Address, report.FailureDomain, report.Capacity, serves)
	}
	return leader
}

// readsStore reports whether this VM reads the store now: it ranks first, or the
// one that reads for it does not answer. A VM that has just started waits for a
// moment.
func (g *Gateway) readsStore() bool {
	if g.holdsAtStart() {
		return false
	}
	if _, follows := g.Leader(); !follows {
		return !g.toldBySeed()
	}
	now := clock.Now()
	return g.follower.Failed(now) || g.tracker.Age(now) >= knowledge.StaleAfter
}

// tryingVMs is the number of VMs of each failure domain that try often to reach a lost
// store.
const tryingVMs = 3

// othersTry reports whether enough VMs of the own failure domain rank before this one.
func (g *Gateway) othersTry() bool {
	own := newReaderRank(g.settings.IP, g.settings.Capacity)
	before := 0
	for _, member := range g.members.Alive(clock.Now()) {
		report := &member.Report
		if report.FailureDomain == g.settings.FailureDomain && newReaderRank(report.Address, report.Capacity).before(own) {
			before++
		}
	}
	return before >= tryingVMs
}

// Newer implements knowledge.PeerSource.
func (g *Gateway) Newer(newest int64) (address string, ok bool) {
	var near, far []string
	for _, member := range g.members.Alive(clock.Now()) {
		switch {
		case member.Report.Newest <= newest:
		case member.Report.FailureDomain == g.settings.FailureDomain:
			near = append(near, member.Report.Address)
		default:
			far = append(far, member.Report.Address)
		}
	}
	// Each VM asks another one, so that none has to answer all.
	for _, addresses := range [][]string{near, far} {
		if len(addresses) > 0 {
			return addresses[rand.IntN(len(addresses))], true
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
func (g *Gateway) Ask(ctx context.Context, address string, question knowledge.Question, wait time.Duration) (knowledge.Share, error) {
	return g.peers.Knowledge(ctx, address, question, wait)
}
