package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// holdCrashes is the number of successive crashes under one request from which its repeats are
	// held back: too few to condemn it, since the service may have answered nothing in between.
	holdCrashes = 2
	// baseHold is how long the first hold lasts after the last crash. It doubles with each further
	// crash, up to maxHold.
	baseHold = 5 * time.Second
	maxHold  = baseTerm
)

// holdTerm returns how long a request is held back after the last of count crashes. stagger, from 0 to
// 1, differs from VM to VM, so that one of them tries before the others.
func holdTerm(count int, stagger float64) time.Duration {
	term := baseHold
	for ; count > holdCrashes && term < maxHold; count-- {
		term *= 2
	}
	return min(term+time.Duration(stagger*float64(term)), maxHold)
}

// holds returns the requests to hold back: those under which engines crashed one after the other and
// that were not answered since. The caller holds l.mu.
func (l *Ledger) holds() []Quarantine {
	byRequest := map[uint64][]*Observation{}
	for _, o := range l.observations.byKey {
		if own := o.ownPart(); l.observations.repeated(own, holdCrashes) && l.suspectsPart(o, own) {
			byRequest[own] = append(byRequest[own], o)
		}
	}
	var held []Quarantine
	for _, own := range slices.Sorted(maps.Keys(byRequest)) {
		observations := byRequest[own]
		slices.SortFunc(observations, compareObservations)
		if crashes := countSuccessive(observations); crashes >= holdCrashes {
			last := observations[len(observations)-1].At
			held = append(held, Quarantine{Parts: []uint64{own}, Crashes: crashes, Until: last.Add(holdTerm(crashes, l.stagger))})
		}
	}
	return held
}

// countSuccessive returns the number of observations, sorted by time, before each of which the request
// was sent after the crash of the one before.
func countSuccessive(observations []*Observation) int {
	count := 0
	var last *Observation
	for _, o := range observations {
		if last == nil || o.follows(last) {
			count++
			last = o
		}
	}
	return count
}

// follows reports whether the request of an observation was sent after the crash of an earlier one. The
// times of two observations of this VM need no gap to tell.
func (o *Observation) follows(earlier *Observation) bool {
	if o.Engine == earlier.Engine || o.At.Add(-o.SentBefore).Add(clockTolerance) < earlier.At {
		return false
	}
	return o.local && earlier.local || o.At.Sub(earlier.At) >= minCrashGap
}
