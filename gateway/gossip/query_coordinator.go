package gossip

import (
	"math/rand/v2"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/rank"
)

const (
	// settleTimeout bounds the wait for a stable number of alive VMs.
	settleTimeout = 400 * time.Millisecond
	// aloneTimeout replaces settleTimeout for a VM that has heard of no other: its seeds
	// may start later.
	aloneTimeout = 2 * time.Second
	// queryDelaySpread is how much longer the VM that ranks last for an engine in a large
	// fleet waits than the one that ranks first, so that it hears of that one meanwhile.
	queryDelaySpread = 3 * time.Second
	// smallFleetDelaySpread replaces queryDelaySpread in fleets that appear small.
	smallFleetDelaySpread = 400 * time.Millisecond
	// ownQueriesWindow is the time after which a VM has very probably decided on all
	// engines that it ranks first for.
	ownQueriesWindow = queryDelaySpread / 5
)

// Survey describes the other VMs that are alive at one moment.
type Survey struct {
	// Alive is the number of these VMs.
	Alive int
	// WithPartLocations are the addresses of the VMs that know which endpoints hold which
	// prompt parts: those of the given failure domain first, then the others, both in
	// random order.
	WithPartLocations []string
}

// Survey returns the other VMs that are alive at now, for a VM of the given failure domain.
func (t *Table) Survey(domain string, now clock.Boot) Survey {
	var survey Survey
	var otherDomains []string
	t.ForEachAlive(now, func(member *Member) {
		survey.Alive++
		switch {
		case !member.Report.HasPartLocations:
		case member.Report.FailureDomain == domain:
			survey.WithPartLocations = append(survey.WithPartLocations, member.Report.Address)
		default:
			otherDomains = append(otherDomains, member.Report.Address)
		}
	})
	shuffleAddresses(survey.WithPartLocations)
	shuffleAddresses(otherDomains)
	survey.WithPartLocations = append(survey.WithPartLocations, otherDomains...)
	return survey
}

func shuffleAddresses(addresses []string) {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
}

// QueryCoordinator decides, after the start of a VM, whether engines must be queried for
// the prompt parts that they hold because no VM knows them, and which engines this VM
// queries. A query delays the engine's work, so each engine should be queried by only one
// VM. VMs that start together discover each other gradually, so no VM can rely on a full
// view. It is not safe for concurrent use.
type QueryCoordinator struct {
	table *Table
	// waitingSince is when the wait for a stable number of alive VMs began: at the start,
	// and again when the first other VM was discovered.
	waitingSince clock.Boot
	// lastAlive is the number of other VMs that were alive at the last Update.
	lastAlive int
	// querying reports whether engines are queried, also those that are published later.
	querying bool
	// queryingSince is when querying became true.
	queryingSince clock.Boot
	// decided has the engines for which ShouldQuery has made its decision.
	decided map[string]bool
}

// NewQueryCoordinator returns a QueryCoordinator for a VM that starts to coordinate at now.
func NewQueryCoordinator(table *Table, now clock.Boot) *QueryCoordinator {
	return &QueryCoordinator{table: table, waitingSince: now, decided: map[string]bool{}}
}

// Update reports whether this VM is to query engines. It returns true from the first call on
// at which the number of alive VMs is stable, or the wait for that is over, and none of them
// knows which endpoints hold which prompt parts.
func (c *QueryCoordinator) Update(survey Survey, now clock.Boot) bool {
	if c.lastAlive == 0 && survey.Alive > 0 {
		c.waitingSince = now
	}
	settled := survey.Alive > 0 && survey.Alive == c.lastAlive && !c.table.LargeFleet()
	c.lastAlive = survey.Alive
	if c.querying {
		return true
	}
	if len(survey.WithPartLocations) > 0 {
		return false
	}
	if !settled && now.Sub(c.waitingSince) < c.settleWait() {
		return false // The set of alive VMs decides which engines this one queries.
	}
	c.querying, c.queryingSince = true, now
	return true
}

// settleWait returns how long to wait for a stable number of alive VMs. A VM that has heard
// of no other waits longer for its seeds.
func (c *QueryCoordinator) settleWait() time.Duration {
	if c.lastAlive == 0 {
		return aloneTimeout
	}
	return settleTimeout
}

// ShouldQuery reports whether this VM is to query an engine now: it ranks first for the
// engine among the alive VMs. It returns true at most once for an engine, and false until
// this VM's delay for it is over.
func (c *QueryCoordinator) ShouldQuery(engine string, now clock.Boot) bool {
	if c.decided[engine] {
		return false
	}
	own := rank.Key(engine, c.table.self)
	if now.Sub(c.queryingSince) < c.queryDelay(own) {
		return false
	}
	c.decided[engine] = true
	return c.table.hasHighestKey(own, engine, now)
}

// queryDelay returns how long after the start of querying a VM decides on an engine. key is
// the VM's hash for the engine; the highest key has no delay.
func (c *QueryCoordinator) queryDelay(key uint64) time.Duration {
	spread := smallFleetDelaySpread
	if c.lastAlive == 0 || c.table.LargeFleet() {
		spread = queryDelaySpread
	}
	const keySpace = 1 << 64
	fraction := float64(^key) / keySpace
	return time.Duration(fraction * float64(spread))
}

// Complete reports whether this VM has queried the engines that it is likely to query.
func (c *QueryCoordinator) Complete(now clock.Boot) bool {
	return now.Sub(c.queryingSince) >= ownQueriesWindow
}

// hasHighestKey reports whether no alive member has a higher hash for an engine than key.
func (t *Table) hasHighestKey(key uint64, engine string, now clock.Boot) bool {
	highest := true
	t.ForEachAlive(now, func(member *Member) {
		highest = highest && rank.Key(engine, member.Report.Address) <= key
	})
	return highest
}
