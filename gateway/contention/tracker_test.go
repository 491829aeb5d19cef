package contention

import (
	"fmt"
	"math"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

const testStart = clock.Boot(time.Hour)

func testEndpoint(number int) *traffic.Endpoint {
	return &traffic.Endpoint{ID: fmt.Sprint("e-", number), StartedMS: 1, Service: "s"}
}

// factor returns the factor of an endpoint as a VM knows it.
func factor(t *Tracker, endpoint *traffic.Endpoint, now clock.Boot) float64 {
	return t.Newest(endpoint.Instance()).Factor(t.Common(endpoint.Service), now)
}

// relay passes one VM's report on to another.
func relay(from, to *Tracker, sent, received clock.Boot) (count int) {
	report := gossip.Report{}
	from.FillReport(&report, sent)
	for i := range report.Contentions {
		to.Relay(&report.Contentions[i], "s", received)
	}
	return len(report.Contentions)
}

// TestStatementsDecay guards against old statements that count like new ones, and against values that are out of range.
func TestStatementsDecay(t *testing.T) {
	for _, c := range []struct{ stated, common, after, want float64 }{
		{2.5, 1, 0, 2.5}, {2.5, 1, 300, 1.75}, {2.5, 1, 600, 1.375}, {2.5, 1, 1501, 1}, {2.5, 2.5, 0, 1}, {3, 2, 0, 1.5},
		{1, 1, 0, 1}, {0.1, 1, 0, 1}, {-1, 1, 0, 1}, {100, 1, 0, maxFactor}, {math.Inf(1), 1, 0, maxFactor}, {2.5, 1, -50, 2.5},
	} {
		now := testStart.Add(time.Duration(c.after) * time.Millisecond)
		if got := newStatement(c.stated, testStart).Factor(c.common, now); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

// TestExtraIsBoundedByThePeriod guards against a long prefill that is expected to be slow to its end.
func TestExtraIsBoundedByThePeriod(t *testing.T) {
	for _, c := range []struct{ factor, workMS, want float64 }{{1, 5000, 0}, {2.5, 0, 0}, {2.5, 40, 60}, {2.5, 5000, 0.6 * remainingMS}} {
		if got := ExtraMS(c.factor, c.workMS); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

// TestNewestStatementCounts guards against relayed statements that replace newer ones, that VMs keep alive by
// relaying them to each other, and against a return to normal that other VMs don't hear of.
func TestNewestStatementCounts(t *testing.T) {
	first, second, endpoint, now := NewTracker(), NewTracker(), testEndpoint(1), testStart
	first.Record(endpoint, 2.5, now)
	second.Record(endpoint, 1, now.Add(10*time.Millisecond))
	if relay(first, second, now.Add(50*time.Millisecond), now.Add(60*time.Millisecond)); factor(second, endpoint, now) > 1 {
		t.Error("an older statement has replaced a newer one")
	}
	third := NewTracker()
	relay(first, third, now.Add(50*time.Millisecond), now.Add(60*time.Millisecond))
	if got := factor(third, endpoint, now.Add(60*time.Millisecond)); got < 2.2 || third.Contended(now) != 1 {
		t.Errorf("a relayed statement counts %v", got)
	}
	later := now
	for range 40 {
		later = later.Add(20 * time.Millisecond)
		relay(first, third, later, later.Add(transitTime))
		relay(third, first, later, later.Add(transitTime))
	}
	if count := relay(first, third, later, later); count > 0 {
		t.Errorf("%d statements are reported after 800 ms", count)
	}
	first.Record(endpoint, 1, later)
	first.Record(endpoint, 1, later.Add(50*time.Millisecond))
	third.Record(endpoint, 2.5, later)
	relay(first, third, later.Add(100*time.Millisecond), later.Add(110*time.Millisecond))
	if got := factor(third, endpoint, later.Add(110*time.Millisecond)); got > 1 {
		t.Errorf("after the return to normal: %v", got)
	}
}

// TestSharedContentionCountsAgainstNone guards against endpoints that are avoided for what all of the service share,
// and against reports that it fills.
func TestSharedContentionCountsAgainstNone(t *testing.T) {
	tracker := NewTracker()
	for i := range 200 {
		tracker.Record(testEndpoint(i), 2.5, testStart)
	}
	if got := factor(tracker, testEndpoint(7), testStart); got != 1 {
		t.Errorf("one of many like ones: %v", got)
	}
	if count := relay(tracker, NewTracker(), testStart, testStart); count > 0 {
		t.Errorf("%d shared contentions reported", count)
	}
	for i := range 200 {
		tracker.Record(testEndpoint(i), 1+float64(i%3), testStart.Add(time.Millisecond))
	}
	if count := relay(tracker, NewTracker(), testStart.Add(time.Millisecond), testStart.Add(time.Millisecond)); count != gossip.MaxContentions {
		t.Errorf("%d statements in a report", count)
	}
}
