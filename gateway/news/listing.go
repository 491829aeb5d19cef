package news

import (
	"math/rand/v2"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/rank"
)

const (
	// settleTime bounds the wait for a steady number of VMs.
	settleTime = 400 * time.Millisecond
	// aloneTime is the same for a VM that hears nobody: its seeds may start later.
	aloneTime = 2 * time.Second
	// turnSpread is by how much the VM that ranks last for an engine in a large fleet
	// waits longer than the one that ranks first: it hears of that one meanwhile.
	turnSpread = 3 * time.Second
	// smallTurnSpread is the same in a fleet that looks small.
	smallTurnSpread = 400 * time.Millisecond
	// likelyTurns is when the turns of those that rank first are over.
	likelyTurns = turnSpread / 5
)

// Survey is who is alive at a moment.
type Survey struct {
	Alive int
	// Knowing are the addresses of VMs that know where prompt parts are: those of the
	// own failure domain first, each kind in random order.
	WithPartLocations []string
}

// Survey returns who is alive now.
func (t *Table) Survey(domain string, now clock.Boot) Survey {
	var survey Survey
	var far []string
	t.ForEachAlive(now, func(member *Member) {
		survey.Alive++
		switch {
		case !member.Report.HasPartLocations:
		case member.Report.FailureDomain == domain:
			survey.WithPartLocations = append(survey.WithPartLocations, member.Report.Address)
		default:
			far = append(far, member.Report.Address)
		}
	})
	shuffle(survey.WithPartLocations)
	shuffle(far)
	survey.WithPartLocations = append(survey.WithPartLocations, far...)
	return survey
}

func shuffle(addresses []string) {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
}

// Listing decides, after the start of a VM, whether engines have to be asked what they
// hold, since nobody knows it, and which of them this VM asks. A question delays the
// engine's work, so each engine is to be asked by one VM. The VMs of a fleet that start
// together hear of each other bit by bit. Not safe for concurrent use.
type QueryCoordinator struct {
	table *Table
	// began is when the VM began to look, or first saw another one.
	began clock.Boot
	// members is the number of VMs that were alive in the last round.
	members int
	// listing tells that engines are asked, also those that are published later.
	listing bool
	since   clock.Boot
	decided map[string]bool
}

// NewListing returns a Listing for a VM that begins to look at now.
func NewQueryCoordinator(table *Table, now clock.Boot) *QueryCoordinator {
	return &QueryCoordinator{table: table, began: now, decided: map[string]bool{}}
}

// Round reports whether this VM is to ask engines, as nobody knew when the VMs that it
// heard had become steady.
func (l *QueryCoordinator) Update(survey Survey, now clock.Boot) bool {
	if l.members == 0 && survey.Alive > 0 {
		l.began = now
	}
	settled := survey.Alive > 0 && survey.Alive == l.members && !l.table.LargeFleet()
	l.members = survey.Alive
	if l.listing {
		return true
	}
	if len(survey.WithPartLocations) > 0 {
		return false
	}
	if !settled && now.Sub(l.began) < l.waits() {
		return false // Who else is there decides which engines to ask.
	}
	l.listing, l.since = true, now
	return true
}

// waits returns how long to wait for a steady number of VMs. A VM that hears nobody waits
// for its seeds.
func (l *QueryCoordinator) waits() time.Duration {
	if l.members == 0 {
		return aloneTime
	}
	return settleTime
}

// Asks reports, once, that this VM is to ask an engine now: it ranks first for it among
// the VMs alive.
func (l *QueryCoordinator) ShouldQuery(engine string, now clock.Boot) bool {
	if l.decided[engine] {
		return false
	}
	own := rank.Key(engine, l.table.self)
	if now.Sub(l.since) < l.turn(own) {
		return false
	}
	l.decided[engine] = true
	return l.table.highest(own, engine, now)
}

// turn returns how long after the others have begun the VM with a key decides.
func (l *QueryCoordinator) turn(key uint64) time.Duration {
	spread := smallTurnSpread
	if l.members == 0 || l.table.LargeFleet() {
		spread = turnSpread
	}
	const keys = 1 << 64
	behind := float64(^key) / keys
	return time.Duration(behind * float64(spread))
}

// Knows reports whether the engines that this VM is likely to ask have been asked.
func (l *QueryCoordinator) Complete(now clock.Boot) bool {
	return now.Sub(l.since) >= likelyTurns
}

// highest reports whether no member that is alive has a higher key for a duty.
func (t *Table) highest(key uint64, duty string, now clock.Boot) bool {
	highest := true
	t.ForEachAlive(now, func(member *Member) {
		highest = highest && rank.Key(duty, member.Report.Address) <= key
	})
	return highest
}
