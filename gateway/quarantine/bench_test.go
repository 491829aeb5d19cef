package quarantine

import (
	"fmt"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// benchLedger returns a ledger with the given number of quarantines.
func benchLedger(quarantines int) (*Ledger, clock.Boot) {
	l, now := NewLedger(0), clock.Boot(time.Hour)
	for crash := range 5 {
		for part := range quarantines {
			l.RecordAnswering("assist", now)
			engine := traffic.Instance{ID: fmt.Sprintf("i-%d-%d", crash, part), StartedMS: 1}
			l.RecordCrash("assist", engine, []uint64{uint64(part)<<8 + uint64(crash), uint64(part) << 40}, now, now.Add(time.Millisecond))
			now = now.Add(300 * time.Millisecond)
		}
	}
	return l, now
}

// BenchmarkFind measures the check of a request without and with quarantines.
func BenchmarkFind(b *testing.B) {
	for _, quarantines := range []int{0, 1, 8} {
		l, now := benchLedger(quarantines)
		parts := []uint64{1, 2, 3}
		b.Run(fmt.Sprint("quarantines=", quarantines), func(b *testing.B) {
			for b.Loop() {
				l.Find(parts, now)
			}
		})
	}
}

// BenchmarkRecordAnswer measures the record of an answered request.
func BenchmarkRecordAnswer(b *testing.B) {
	l, now := benchLedger(1)
	parts := []uint64{0, 2, 3}
	for b.Loop() {
		parts[0]++
		now++
		l.RecordAnswer("assist", parts, now)
	}
}

// stormLedger returns a ledger that is full of observations of requests that never returned, whose
// shared parts were answered since.
func stormLedger() (*Ledger, clock.Boot) {
	l, now := NewLedger(0), clock.Boot(time.Hour)
	for i := range maxObservations {
		now = now.Add(10 * time.Millisecond)
		crashEngine(l, i, stormPrompt(i), now)
	}
	for i := range stormDocuments {
		l.RecordAnswer("assist", stormPrompt(maxObservations+i), now.Add(time.Second))
	}
	return l, now.Add(time.Second)
}

// stormDocuments is the number of documents that the prompts of stormPrompt share.
const stormDocuments = 300

// stormPrompt returns the parts of a prompt: two that others share, and its own.
func stormPrompt(number int) []uint64 {
	document := uint64(number % stormDocuments)
	return []uint64{firstTemplate + document%4, firstDocument + document, firstOwn + uint64(number)}
}

// BenchmarkStorm measures a judging, a report and one more crash in a full ledger.
func BenchmarkStorm(b *testing.B) {
	l, now := stormLedger()
	b.Run("judging", func(b *testing.B) {
		for b.Loop() {
			l.stale = true
			l.Find([]uint64{1, 2, 3}, now)
		}
	})
	b.Run("report", func(b *testing.B) {
		for b.Loop() {
			var report gossip.Report
			l.FillReport(&report, now)
		}
	})
	b.Run("answer", func(b *testing.B) {
		parts := stormPrompt(maxObservations)
		for b.Loop() {
			now++
			l.RecordAnswer("assist", parts, now)
		}
	})
	b.Run("crash", func(b *testing.B) {
		number := maxObservations
		for b.Loop() {
			number++
			now = now.Add(10 * time.Millisecond)
			crashEngine(l, number, stormPrompt(number), now)
		}
	})
}

// TestFullLedgerIsJudgedCheaply bounds the allocations of a judging, a report and an answer in a ledger
// that is full of requests that never returned: they must not grow with its observations.
func TestFullLedgerIsJudgedCheaply(t *testing.T) {
	const maxJudging, maxReport, maxAnswer = 8.0, 128.0, 8.0
	l, now := stormLedger()
	judging := testing.AllocsPerRun(10, func() {
		l.stale = true
		l.Find([]uint64{1, 2, 3}, now)
	})
	report := testing.AllocsPerRun(10, func() { l.FillReport(&gossip.Report{}, now) })
	answer := testing.AllocsPerRun(10, func() {
		now++
		l.RecordAnswer("assist", stormPrompt(maxObservations), now)
		l.Find([]uint64{1, 2, 3}, now)
	})
	if len(l.observations.byKey) != maxObservations {
		t.Fatalf("%d observations, want %d", len(l.observations.byKey), maxObservations)
	}
	if judging > maxJudging || report > maxReport || answer > maxAnswer {
		t.Errorf("%v, %v and %v allocations for a judging, a report and an answer, want at most %v, %v and %v",
			judging, report, answer, maxJudging, maxReport, maxAnswer)
	}
}

// BenchmarkReport measures filling in a report and taking it in again.
func BenchmarkReport(b *testing.B) {
	for _, quarantines := range []int{0, 1, 8} {
		l, now := benchLedger(quarantines)
		other := NewLedger(0)
		b.Run(fmt.Sprint("quarantines=", quarantines), func(b *testing.B) {
			for b.Loop() {
				var report gossip.Report
				l.FillReport(&report, now)
				other.ApplyReport(report, now)
			}
		})
	}
}
