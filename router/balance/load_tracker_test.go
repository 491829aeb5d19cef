package balance

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/settings"
	"cardamompoint.example/cardamompoint/router/template"
)

// testEngine is one engine with a home that holds its lease.
type testEngine struct {
	t        testing.TB
	tracker  *LoadTracker
	now      time.Time
	fraction Fraction
}

func newTestEngine(t testing.TB, limits settings.Limits) *testEngine {
	e := &testEngine{t: t, tracker: NewLoadTracker(limits, leaseDuration), now: time.Now(), fraction: FractionWhole}
	e.report(endpoint.Load{})
	return e
}

func (e *testEngine) report(load endpoint.Load) {
	e.tracker.RecordReport(engineName, e.tracker.StartReport(engineName), load, e.now, e.now)
}

func (e *testEngine) reportRepeatedly(times int, load endpoint.Load) {
	for range times {
		e.report(load)
	}
}

func (e *testEngine) reserve(workspace string, priority template.Priority, tokens int) (*Reservation, error) {
	request := Request{Engine: engineName, Model: "m", Workspace: workspace, Priority: priority, Tokens: tokens}
	return e.tracker.reserve(request, []Allowance{{Fraction: e.fraction}}, e.now)
}

// fill reserves one-token requests until the engine refuses and returns the
// number of admitted requests and the refusal.
func (e *testEngine) fill(workspace string, priority template.Priority) (int, error) {
	for n := 0; ; n++ {
		if _, err := e.reserve(workspace, priority, 1); err != nil {
			return n, err
		}
	}
}

var hardLimits = settings.Limits{LoadMultiple: 10, EngineFloorTokens: 1 << 30, EngineRequests: 20, EngineTokens: 1 << 30}

func TestReservationIsReleasedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewLoadTracker(hardLimits, leaseDuration)
		now := time.Now()
		tracker.RecordReport(engineName, tracker.StartReport(engineName), endpoint.Load{}, now, now)
		held := map[*Reservation]int{}
		var all []*Reservation
		pick := func(t *rapid.T) *Reservation { return rapid.SampledFrom(all).Draw(t, "reservation") }
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				tokens := rapid.IntRange(1, 5).Draw(t, "tokens")
				request := Request{Engine: engineName, Model: "m", Workspace: "w", Priority: template.PriorityTag, Tokens: tokens}
				reservation, err := tracker.reserve(request, []Allowance{{Fraction: FractionWhole}}, now)
				if err == nil {
					held[reservation] = tokens
					all = append(all, reservation)
				}
			},
			"token": func(t *rapid.T) {
				if len(all) == 0 {
					t.Skip()
				}
				reservation := pick(t)
				reservation.TokenDelivered()
				if held[reservation] > 1 {
					held[reservation]--
				}
			},
			"release": func(t *rapid.T) {
				if len(all) == 0 {
					t.Skip()
				}
				reservation := pick(t)
				reservation.Release()
				delete(held, reservation)
			},
			"": func(t *rapid.T) {
				want := ModelLoad{Requests: len(held)}
				for _, left := range held {
					want.Tokens += left
				}
				requests, tokens := tracker.Load(engineName)
				if got := (ModelLoad{Requests: requests, Tokens: tokens}); got != want || tracker.LoadByModel()["m"] != want {
					t.Fatalf("the tracker counts %v and %v, want %v", got, tracker.LoadByModel()["m"], want)
				}
			},
		})
	})
}

func TestCapacityIsReservedForUrgentClasses(t *testing.T) {
	e := newTestEngine(t, hardLimits)
	if n, err := e.fill("w", template.PriorityLong); n != 15 || !code.Is(err, code.EndpointFull) {
		t.Errorf("%d long requests are admitted: %v", n, err)
	}
	if n, _ := e.fill("w", template.PriorityChat); n != 3 {
		t.Errorf("%d chat requests are admitted after long ones", n)
	}
	if n, _ := e.fill("w", template.PriorityTag); n != 2 {
		t.Errorf("%d tags are admitted after chat requests", n)
	}
}

func TestLentCapacityIsReturned(t *testing.T) {
	e := newTestEngine(t, hardLimits)
	lent, _ := e.fill("flooding", template.PriorityChat)
	if lent != 18 {
		t.Fatalf("a workspace alone gets %d of 20 requests", lent)
	}
	if _, err := e.reserve("other", template.PriorityChat, 1); !code.Is(err, code.EndpointFull) {
		t.Fatalf("a full engine admits a chat request: %v", err)
	}
	if _, err := e.reserve("flooding", template.PriorityTag, 1); err != nil {
		t.Errorf("the first tag of a workspace above its fair share is refused with %v", err)
	}
	_, err := e.reserve("flooding", template.PriorityTag, 1)
	if !code.Is(err, code.WorkspaceShare) || code.Of(err).RetryAfterMS == 0 {
		t.Errorf("a workspace above its fair share is refused with %v", err)
	}
	for reservation := range e.tracker.engine(engineName).reservations {
		reservation.Release()
		if e.tracker.engine(engineName).load.Requests == 10 {
			break
		}
	}
	if n, _ := e.fill("other", template.PriorityChat); n < 8 {
		t.Errorf("the other workspace gets %d requests after one service time", n)
	}
}

func TestSharesFollowWeights(t *testing.T) {
	s := newShares()
	now := time.Now()
	s.recordRequest("large", 3, now)
	s.recordRequest("small", 1, now)
	if s.fairShare("large") != 0.75 || s.fairShare("small") != 0.25 {
		t.Errorf("the shares are %v and %v", s.fairShare("large"), s.fairShare("small"))
	}
	s.recordRequest("small", 1, now.Add(activeWindow+time.Second))
	if s.fairShare("small") != 1 {
		t.Errorf("the share is %v after the other workspace went idle", s.fairShare("small"))
	}
}

func TestReports(t *testing.T) {
	cases := []struct {
		name     string
		fraction Fraction
		prepare  func(*testEngine)
		want     int
		code     code.Code
	}{
		{"leaving", FractionWhole, func(e *testEngine) { e.report(endpoint.Load{Leaving: true}) }, 0, code.EndpointLeaving},
		{"none", FractionWhole, func(e *testEngine) { e.tracker = NewLoadTracker(hardLimits, leaseDuration) }, 0, code.ViewStale},
		{"others' work", FractionWhole, func(e *testEngine) { e.reportRepeatedly(maxSamples, endpoint.Load{Requests: 5}) }, 15, code.EndpointFull},
		{"old, with lease", FractionWhole, func(e *testEngine) { e.now = e.now.Add(time.Hour) }, 20, code.EndpointFull},
		{"fresh, without lease", FractionHome, func(*testEngine) {}, 15, code.EndpointFull},
		{"old, without lease", FractionHome, func(e *testEngine) { e.now = e.now.Add(time.Hour) }, 5, code.EndpointFull},
		{"fresh, backup", FractionBackup, func(*testEngine) {}, 5, code.EndpointFull},
		{"old, backup", FractionBackup, func(e *testEngine) { e.now = e.now.Add(time.Hour) }, 0, code.ViewStale},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newTestEngine(t, hardLimits)
			e.fraction = c.fraction
			c.prepare(e)
			got, err := e.fill("w", template.PriorityTag)
			if got != c.want || !code.Is(err, c.code) {
				t.Errorf("%d requests are admitted, then %v", got, err)
			}
		})
	}
}

func TestOwnWorkInReportsCountsOnce(t *testing.T) {
	e := newTestEngine(t, hardLimits)
	for range 10 {
		reservation, err := e.reserve("w", template.PriorityTag, 5)
		if err != nil {
			t.Fatal(err)
		}
		reservation.TokenDelivered()
	}
	e.report(endpoint.Load{Requests: 10, Tokens: 1000})
	if n, _ := e.fill("w", template.PriorityTag); n != 10 {
		t.Errorf("%d requests are admitted in addition to 10 own ones", n)
	}
}

func TestFlappingEngineIsHeldBackLonger(t *testing.T) {
	e := newTestEngine(t, hardLimits)
	other := "engine-2"
	e.tracker.RecordReport(other, e.tracker.StartReport(other), endpoint.Load{}, e.now, e.now)
	var held []time.Duration
	for range 8 {
		for range downAfterFailures {
			e.tracker.RecordReportFailure(engineName)
		}
		e.now = e.now.Add(time.Second)
		e.report(endpoint.Load{})
		start := &e.tracker.engine(engineName).slowStart
		held = append(held, start.rampStart.Sub(e.now))
		if n, _ := e.fill("w", template.PriorityTag); n != 1 {
			t.Fatalf("an engine that is held back gets %d requests, not 1", n)
		}
		for reservation := range e.tracker.engine(engineName).reservations {
			reservation.Release()
		}
		if part := start.capacityFraction(start.rampStart.Add(rampDuration / 2)); part <= rampInitialFraction || part >= 1 {
			t.Errorf("the capacity fraction in the middle of the ramp is %v", part)
		}
		if part := start.capacityFraction(start.rampStart.Add(rampDuration)); part != 1 {
			t.Errorf("the capacity fraction after the ramp is %v", part)
		}
	}
	want := "[1s 2s 4s 8s 16s 32s 1m0s 1m0s]"
	if got := fmt.Sprint(held); got != want {
		t.Errorf("the engine is held back for %s, not %s", got, want)
	}
}

func TestAllEnginesDownAreNotLimited(t *testing.T) {
	e := newTestEngine(t, hardLimits)
	for range downAfterFailures {
		e.tracker.RecordReportFailure(engineName)
	}
	if n, _ := e.fill("w", template.PriorityTag); n != hardLimits.EngineRequests {
		t.Errorf("%d requests are admitted although no engine answers", n)
	}
}

func TestAdoptedWorkIsCounted(t *testing.T) {
	e := newTestEngine(t, hardLimits)
	e.fill("w", template.PriorityTag)
	adopted := e.tracker.Adopt(Request{Engine: engineName, Model: "m", Workspace: "w", Tokens: 3}, e.now)
	if requests, _ := e.tracker.Load(engineName); requests != hardLimits.EngineRequests+1 {
		t.Errorf("%d requests are counted", requests)
	}
	adopted.Release()
	if requests, _ := e.tracker.Load(engineName); requests != hardLimits.EngineRequests {
		t.Errorf("%d requests are counted after the release", requests)
	}
}

func TestEstimatorLearnsByWorkspaceAndClass(t *testing.T) {
	estimator := NewEstimator()
	for range 50 {
		estimator.Observe("w", template.PriorityChat, 100)
	}
	cases := []struct {
		workspace string
		priority  template.Priority
		most      int
		want      int
	}{
		{"w", template.PriorityChat, 2048, 100},
		{"w", template.PriorityChat, 64, 64},
		{"w", template.PriorityLong, 2048, 2048},
		{"x", template.PriorityChat, 2048, 2048},
	}
	for _, c := range cases {
		if got := estimator.Estimate(c.workspace, c.priority, c.most); got != c.want {
			t.Errorf("%s %s with at most %d: expects %d, not %d", c.workspace, c.priority, c.most, got, c.want)
		}
	}
}

func TestTrendGrowth(t *testing.T) {
	var grown trend
	now := time.Unix(1000, 0)
	grown.add(100, now)
	if got := grown.growth(now.Add(growthWindow / 2)); got != 100 {
		t.Errorf("the growth is %d within the window", got)
	}
	if got := grown.growth(now.Add(2 * growthWindow)); got != 0 {
		t.Errorf("the growth is %d after the window", got)
	}
}
