package quarantine

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// verdicts returns the parts and the number of crashes of the quarantines of a ledger, sorted.
func verdicts(l *Ledger, now clock.Boot) []string {
	var all []string
	for _, q := range l.Quarantines(now) {
		all = append(all, fmt.Sprint(traffic.FormatPartIDs(q.Parts), " ", q.Crashes))
	}
	slices.Sort(all)
	return all
}

// TestOrderOfReportsDoesNotMatter applies the same reports in two orders, some of them twice: both
// ledgers must come to the same verdicts.
func TestOrderOfReportsDoesNotMatter(t *testing.T) {
	now := clock.Boot(time.Hour)
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.Uint64Range(1, 5)
		crash := rapid.Custom(func(t *rapid.T) gossip.Report {
			return gossip.Report{Crashes: []gossip.Crash{{
				Endpoint: fmt.Sprint("e", rapid.IntRange(0, 9).Draw(t, "engine")), Service: "s",
				Parts: rapid.SliceOfNDistinct(part, 1, 3, rapid.ID[uint64]).Draw(t, "parts"),
				AgeMS: rapid.Int64Range(0, 5000).Draw(t, "age"), SentBeforeMS: rapid.Int64Range(0, 300).Draw(t, "sent"),
				BackgroundPermille: rapid.IntRange(1, 200).Draw(t, "background"),
			}}}
		})
		answer := rapid.Custom(func(t *rapid.T) gossip.Report {
			return gossip.Report{AnsweredParts: []gossip.AnsweredPart{{Part: part.Draw(t, "answered"), AgeMS: rapid.Int64Range(0, 5000).Draw(t, "age")}}}
		})
		// Each engine crashed once, so only its first crash is kept.
		crashes := rapid.SliceOfDistinct(crash, func(r gossip.Report) string { return r.Crashes[0].Endpoint }).Draw(t, "crashes")
		reports := append(crashes, rapid.SliceOfN(answer, 0, 3).Draw(t, "answers")...)
		shuffled := rapid.Permutation(reports).Draw(t, "order")
		repeated := append(slices.Clone(shuffled), shuffled[:len(shuffled)/2]...)
		one, other := NewLedger(0), NewLedger(0)
		for _, report := range reports {
			one.ApplyReport(report, now)
		}
		for _, report := range repeated {
			other.ApplyReport(report, now)
		}
		if a, b := verdicts(one, now), verdicts(other, now); !reflect.DeepEqual(a, b) {
			t.Fatalf("%q in one order, %q in another", a, b)
		}
	})
}
