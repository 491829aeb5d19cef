package shed

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// TestOnlyHopelessRequestsAreRefusedForTheirTime guards against requests that are sent although their answer can't
// come in time, and against refusals of requests that may be answered: while endpoints are idle, by the stale estimate
// of one endpoint, or when the time left is not known.
func TestOnlyHopelessRequestsAreRefusedForTheirTime(t *testing.T) {
	loaded := Request{Cost: 1, Draw: 1<<64 - 1, Backlog: 2 * time.Second, Delay: 3 * time.Second, Objective: 500 * time.Millisecond, TimeLeft: time.Second, Occupancy: 1}
	for _, c := range []struct {
		name   string
		change func(r *Request)
		want   Reason
	}{
		{"no time", func(*Request) {}, ReasonHopeless},
		{"at an idle pool", func(r *Request) { r.Backlog, r.Occupancy = 0, 0.4 }, ReasonNone},
		{"by one stale estimate", func(r *Request) { r.Backlog, r.Delay = 150*time.Millisecond, time.Minute }, ReasonNone},
		{"by a narrow margin", func(r *Request) { r.TimeLeft = 2500 * time.Millisecond }, ReasonNone},
		{"with unknown time", func(r *Request) { r.TimeLeft = 0 }, ReasonNone},
	} {
		s, now, r := New(), clock.Boot(time.Hour), loaded
		c.change(&r)
		var decision Decision
		for range 50 {
			now = now.Add(20 * time.Millisecond)
			decision = s.Decide(r, now)
		}
		if decision.Reason != c.want || decision.Refused != (c.want != ReasonNone) || decision.Refused && decision.RetryAfter < minRetryAfter {
			t.Errorf("%s: %+v, want %s", c.name, decision, c.want)
		}
	}
}

// TestLatenessIsJudgedByTheOwnObjective sends requests of two routes with equal delays at an overload. It guards
// against the use of another route's objective.
func TestLatenessIsJudgedByTheOwnObjective(t *testing.T) {
	s, now := New(), clock.Boot(time.Hour)
	refused := map[time.Duration]map[Reason]int{300 * time.Millisecond: {}, 2 * time.Second: {}}
	for i := range 400 {
		for objective, reasons := range refused {
			now = now.Add(5 * time.Millisecond)
			decision := s.Decide(Request{Route: objective.String(), Cost: 1, Draw: uint64(i%100) << 57, Backlog: 400 * time.Millisecond,
				Delay: 500 * time.Millisecond, Objective: objective, Occupancy: 1}, now)
			reasons[decision.Reason]++
		}
	}
	hurried, patient := refused[300*time.Millisecond], refused[2*time.Second]
	if hurried[ReasonLate] == 0 || patient[ReasonLate] > 0 || hurried[ReasonNone] >= patient[ReasonNone] {
		t.Errorf("objective of 300 ms: %v, of 2 s: %v", hurried, patient)
	}
}

// TestFewRequestsInTimeAreNotRefusedByRounding guards against refusals of requests in time that only a rounding error of
// the late ones' share explains.
func TestFewRequestsInTimeAreNotRefusedByRounding(t *testing.T) {
	for _, late := range []float64{0.3, 0.7, 1, 3, 7, 49.9} {
		counts := rankCounts{inTime: 1e-16, late: late}
		for ofRank := 0.01; ofRank < 0.5; ofRank += 0.0317 {
			if got := counts.refusalProbability(false, ofRank, 0.5125); got > 0 {
				t.Errorf("%v late requests, %v of the rank refused: %v of those in time", late, ofRank, got)
			}
		}
	}
}

// TestRefusalsCoverTheExcessInOrder checks for arbitrary mixes that the refused share is the excess, that urgent
// requests and those in time are refused least, and that late ones do not starve.
func TestRefusalsCoverTheExcessInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, excess := New(), rapid.Float64Range(0.02, 0.98).Draw(t, "excess")
		for i := range priorities {
			counts := rankCounts{rapid.Float64Range(0, 50).Draw(t, "in time"), rapid.Float64Range(0, 50).Draw(t, "late")}
			s.arrivedByRank[i] = counts
			s.arrived += counts.total()
		}
		refused, before := 0.0, 0.0
		for i := range rank(priorities) {
			counts := &s.arrivedByRank[i]
			ofRank := s.refusalProbability(i, excess)
			inTime, late := counts.refusalProbability(false, ofRank, i.maxRefusedShare(excess)), counts.refusalProbability(true, ofRank, i.maxRefusedShare(excess))
			refused += inTime*counts.inTime + late*counts.late
			if counts.inTime > 0 && counts.late > 0 && inTime > late+1e-9 || 1-late < lateServedFactor*minServedShare*(1-excess)-1e-9 {
				t.Fatalf("rank %d: %v in time and %v late refused", i, inTime, late)
			}
			if counts.total() > 0 && ofRank < before-1e-9 {
				t.Fatalf("rank %d: %v refused, %v of a more urgent one", i, ofRank, before)
			}
			before = max(before, ofRank)
		}
		if want := excess * s.arrived; refused < want-1e-6*s.arrived || refused > want+1e-6*s.arrived {
			t.Fatalf("%v refused of %v, want %v", refused, s.arrived, want)
		}
	})
}
