package once

import (
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"cardamompoint.example/cardamompoint/code"
)

// The times that the tests use. settleTime is long enough for a router to be
// able to decide on any key.
const (
	testSkew     = 2 * time.Second
	testListAge  = 5 * time.Second
	testLifetime = 15 * time.Minute
	settleTime   = time.Hour
)

var (
	testWindow   = KeyWindow{Lifetime: testLifetime, MaxSkew: testSkew, MaxListAge: testListAge}
	eightRouters = []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8"}
)

// testGranter is the Granter of router r1 with clocks that the test controls.
type testGranter struct {
	*Granter
	reading ClockReading
}

func newTestGranter(limit int) *testGranter {
	g := &testGranter{reading: ClockReading{Wall: time.UnixMilli(1_800_000_000_000)}}
	clock := NewClockFrom(testSkew, func() ClockReading { return g.reading })
	g.Granter = NewGranter("r1", testWindow, clock, NewMembershipHistory(2*testLifetime), limit)
	g.members.Record(g.reading.Wall, eightRouters)
	return g
}

func (g *testGranter) advance(d time.Duration) {
	g.reading.Wall = g.reading.Wall.Add(d)
	g.reading.Elapsed += d
}

// key returns a key whose time of issue is ahead of the granter's clock.
func (g *testGranter) key(ahead time.Duration) CallerKey {
	return CallerKey{Workspace: "w", ID: uuid.NewString(), IssuedMS: g.reading.Wall.Add(ahead).UnixMilli()}
}

func clearanceFor(key CallerKey, executor string, attempt int64, group []string) ClearanceRequest {
	return ClearanceRequest{Key: key, Holder: Holder{Address: executor, Incarnation: "i", Attempt: attempt}, Group: group}
}

func TestGranterRefuses(t *testing.T) {
	replaced := append([]string{"n1", "n2", "n3", "n4"}, eightRouters[:4]...)
	cases := []struct {
		name    string
		prepare func(*testGranter)
		ahead   time.Duration
		group   []string
		reason  string
	}{
		{"an old router", nil, 0, eightRouters, ""},
		{"a key at the edge of the skew", nil, testSkew, eightRouters, ""},
		{"a key of a fast caller", nil, testSkew + time.Millisecond, eightRouters, "309"},
		{"a key of a slow caller", nil, -testLifetime, eightRouters, ""},
		{"a key after its window", nil, -testLifetime - time.Millisecond, eightRouters, "302"},
		{"a router that has just joined", func(g *testGranter) {
			g.members.Record(g.reading.Wall, eightRouters[1:])
			g.members.Record(g.reading.Wall, eightRouters)
		}, 0, eightRouters, "too young"},
		{"a list with four others of eight", nil, 0, replaced, "differ"},
		{"a list with three others of eight", nil, 0, append([]string{"n1", "n2", "n3"}, eightRouters[:5]...), ""},
		{"a sender whose group lacks this router", nil, 0, eightRouters[1:], "not in"},
		{"a wall clock that was set", func(g *testGranter) { g.reading.Wall = g.reading.Wall.Add(testSkew + 1) }, 0, eightRouters, "was set"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newTestGranter(10)
			g.advance(settleTime)
			if c.prepare != nil {
				c.prepare(g)
			}
			answer := g.Decide(clearanceFor(g.key(c.ahead), "r2", 1, c.group))
			if answer.Granted != (c.reason == "") || !strings.Contains(answer.Reason, c.reason) {
				t.Errorf("got %+v, want %q", answer, c.reason)
			}
		})
	}
}

func TestGranterRefusesAfterStartAndClockStep(t *testing.T) {
	g := newTestGranter(10)
	margin := 2*testSkew + testListAge
	g.advance(margin)
	if answer := g.Decide(clearanceFor(g.key(0), "r2", 1, eightRouters)); answer.Granted {
		t.Error("a router decides on a key that may be older than its records")
	}
	g.advance(time.Second)
	if answer := g.Decide(clearanceFor(g.key(0), "r2", 1, eightRouters)); !answer.Granted {
		t.Errorf("a router that is old enough refuses: %s", answer.Reason)
	}
	g.advance(settleTime)
	g.reading.Wall = g.reading.Wall.Add(-time.Minute)
	for range 2 {
		if answer := g.Decide(clearanceFor(g.key(0), "r2", 1, eightRouters)); answer.Granted {
			t.Error("a router decides on a key from before its clock was set")
		}
	}
	g.advance(margin + time.Second)
	if answer := g.Decide(clearanceFor(g.key(0), "r2", 1, eightRouters)); !answer.Granted {
		t.Errorf("a router refuses permanently after its clock was set: %s", answer.Reason)
	}
}

func TestGranterNeverGrantsAnExpiredKeyAgain(t *testing.T) {
	g := newTestGranter(10)
	g.advance(settleTime)
	key := g.key(0)
	g.Decide(clearanceFor(key, "r2", 1, eightRouters))
	g.advance(testLifetime + 3*testSkew)
	g.Decide(clearanceFor(g.key(0), "r2", 2, eightRouters))
	if g.Len() != 1 {
		t.Fatalf("%d keys are kept", g.Len())
	}
	// The clock is set back in steps that are too small to be detected.
	g.reading.Wall = key.IssuedAt()
	g.clock.anchor = g.reading
	if answer := g.Decide(clearanceFor(key, "r3", 1, eightRouters)); answer.Granted {
		t.Error("a key that was granted to r2 is granted to r3")
	}
}

func TestGranterNamesTheHolderAndKeepsLaterAttempts(t *testing.T) {
	g := newTestGranter(1)
	g.advance(settleTime)
	key := g.key(0)
	first, second, other := clearanceFor(key, "r2", 1, eightRouters), clearanceFor(key, "r2", 2, eightRouters), clearanceFor(key, "r3", 9, eightRouters)
	for _, request := range []ClearanceRequest{first, second} {
		if answer := g.Decide(request); !answer.Granted {
			t.Fatal(answer.Reason)
		}
	}
	g.Release(ReleaseRequest{Key: key, Holder: first.Holder})
	if answer := g.Decide(other); answer.Granted || answer.Holder == nil || answer.Holder.Address != "r2" {
		t.Errorf("got %+v after a late release", answer)
	}
	if answer := g.Decide(first); answer.Granted {
		t.Error("an abandoned attempt is granted")
	}
	g.Release(ReleaseRequest{Key: key, Holder: second.Holder})
	if answer := g.Decide(second); answer.Granted {
		t.Error("a released attempt is granted")
	}
	if answer := g.Decide(other); !answer.Granted {
		t.Errorf("a released key is refused: %s", answer.Reason)
	}
	if answer := g.Decide(clearanceFor(g.key(0), "r3", 1, eightRouters)); answer.Granted {
		t.Error("a full table grants another key")
	}
}

func TestKeyReusedIsReportedOnlyAfterClearance(t *testing.T) {
	table, now := NewTable(2), time.Now()
	record, first, err := table.Begin("k", "d1", now, now.Add(testLifetime))
	if !first || err != nil {
		t.Fatal(first, err)
	}
	table.Drop(record)
	record.Finish(Outcome{Error: code.New(code.ClearanceMissing, "")})
	if outcome, err := record.Wait(t.Context(), "d2"); err != nil || outcome.Error.Code != code.ClearanceMissing {
		t.Errorf("a key without a clearance answers %v %v", outcome, err)
	}
	record, first, _ = table.Begin("k", "d1", now, now.Add(testLifetime))
	if !first {
		t.Fatal("the work of a dropped key can't be started again")
	}
	record.MarkCleared()
	record.Finish(Outcome{})
	if _, err := record.Wait(t.Context(), "d2"); !code.Is(err, code.KeyReused) {
		t.Errorf("another body answers %v", err)
	}
	if _, _, err := table.Begin("k2", "", now.Add(testLifetime+1), now.Add(2*testLifetime)); err != nil {
		t.Error(err)
	}
	if _, _, err := table.Begin("k", "d1", now, now.Add(testLifetime)); !code.Is(err, code.KeyExpired) {
		t.Errorf("an expired key answers %v", err)
	}
}

func TestQuorumsOverlap(t *testing.T) {
	for n := 1; n <= MaxGroupSize; n++ {
		if q := Quorum(n); 2*q <= n {
			t.Errorf("two quorums of %d routers need not overlap", n)
		}
	}
	if Quorum(8) != 6 || Quorum(7) != 6 {
		t.Error("a group of 8 tolerates the loss of 2 routers")
	}
}
