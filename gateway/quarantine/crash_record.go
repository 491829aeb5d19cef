package quarantine

import (
	"cmp"
	"slices"
	"time"

	"cardamompoint.example/cardamompoint/gateway/estimate"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// crashRecord holds when engines crashed, and which of these crashes a quarantine explains.
type crashRecord struct {
	// crashes are sorted by time.
	crashes []recordedCrash
}

// recordedCrash is the crash of one engine.
type recordedCrash struct {
	engine traffic.Instance
	at     clock.Boot
	// explained is set if a request in quarantine was at the engine.
	explained bool
	// unexplainedShare is the share of the crashes up to this one that no quarantine explains.
	// They count by their age, as requests do in the background of observations.
	unexplainedShare float64
}

func newCrashRecord(times map[traffic.Instance]clock.Boot) *crashRecord {
	r := &crashRecord{crashes: make([]recordedCrash, 0, len(times))}
	for engine, at := range times {
		r.crashes = append(r.crashes, recordedCrash{engine: engine, at: at})
	}
	slices.SortFunc(r.crashes, func(a, b recordedCrash) int {
		if byTime := cmp.Compare(a.at, b.at); byTime != 0 {
			return byTime
		}
		return compareInstances(a.engine, b.engine)
	})
	r.updateShares()
	return r
}

// explain records that a quarantine explains the crashes of engines.
func (r *crashRecord) explain(engines map[traffic.Instance]bool) {
	for i := range r.crashes {
		if engines[r.crashes[i].engine] {
			r.crashes[i].explained = true
		}
	}
	r.updateShares()
}

// updateShares computes the shares of unexplained crashes.
func (r *crashRecord) updateShares() {
	all, unexplained := 0.0, 0.0
	var last clock.Boot
	for i := range r.crashes {
		crash := &r.crashes[i]
		factor := estimate.Decay(crash.at.Sub(last), estimate.HalfLife)
		all = all*factor + 1
		unexplained *= factor
		if !crash.explained {
			unexplained++
		}
		crash.unexplainedShare = unexplained / all
		last = crash.at
	}
}

// unexplainedShare returns the share of the crashes up to a time that no quarantine explains.
func (r *crashRecord) unexplainedShare(at clock.Boot) float64 {
	after := r.firstAfter(at.Add(atOnce))
	if after == 0 {
		return 1
	}
	return r.crashes[after-1].unexplainedShare
}

// firstAfter returns the index of the first crash after a time.
func (r *crashRecord) firstAfter(at clock.Boot) int {
	index, _ := slices.BinarySearchFunc(r.crashes, at, func(crash recordedCrash, at clock.Boot) int {
		if crash.at > at {
			return 1
		}
		return -1
	})
	return index
}

const (
	// atOnce is the time within which crashes count as simultaneous.
	atOnce = 50 * time.Millisecond
	// coincidence is the number of simultaneous crashes that one part may cause.
	coincidence = 3
)

// simultaneous returns the number of crashes around a time that neither the part nor a quarantine
// explains, at least 1: the more engines crash, the likelier a part is at one of them. Up to
// coincidence crashes of engines at which the part was seen count as one.
func (r *crashRecord) simultaneous(at clock.Boot, seen map[traffic.Instance]bool) int {
	with, others := 0, 0
	for _, crash := range r.crashes[r.firstAfter(at.Add(-atOnce-1)):r.firstAfter(at.Add(atOnce))] {
		switch {
		case crash.explained:
		case seen[crash.engine]:
			with++
		default:
			others++
		}
	}
	return others + max(1, with-coincidence+1)
}
