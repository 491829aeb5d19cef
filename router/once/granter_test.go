package once

import (
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"cardamompoint.example/cardamompoint/code"
)

// The times of the tests.
const (
	testSkew   = 2 * time.Second
	testLag    = 5 * time.Second
	testLength = 15 * time.Minute
	wellBefore = time.Hour
)

var (
	testWindow = KeyWindow{Lifetime: testLength, MaxSkew: testSkew, MaxListAge: testLag}
	eight      = []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8"}
)

// testGranter is a Granter of router r1 with clocks that the test sets.
type testGranter struct {
	*Granter
	reading ClockReading
}

func newTestGranter(limit int) *testGranter {
	g := &testGranter{reading: ClockReading{Wall: time.UnixMilli(1_800_000_000_000)}}
	clock := NewClockFrom(testSkew, func() ClockReading { return g.reading })
	g.Granter = NewGranter("r1", testWindow, clock, NewMembershipHistory(2*testLength), limit)
	g.views.Record(g.reading.Wall, eight)
	return g
}

func (g *testGranter) pass(d time.Duration) {
	g.reading.Wall = g.reading.Wall.Add(d)
	g.reading.Elapsed += d
}

// key returns a key that is issued ahead of the granter's clock.
func (g *testGranter) key(ahead time.Duration) CallerKey {
	return CallerKey{Workspace: "w", ID: uuid.NewString(), IssuedMS: g.reading.Wall.Add(ahead).UnixMilli()}
}

func clearanceFor(key CallerKey, executor string, attempt int64, group []string) ClearanceRequest {
	return ClearanceRequest{Key: key, Holder: Holder{Address: executor, Incarnation: "i", Attempt: attempt}, Group: group}
}

func TestGranterRefuses(t *testing.T) {
	replaced := append([]string{"n1", "n2", "n3", "n4"}, eight[:4]...)
	cases := []struct {
		name    string
		prepare func(*testGranter)
		ahead   time.Duration
		group   []string
		reason  string
	}{
		{"an old router", nil, 0, eight, ""},
		{"a key at the edge of the skew", nil, testSkew, eight, ""},
		{"a key of a fast caller", nil, testSkew + time.Millisecond, eight, "309"},
		{"a key of a slow caller", nil, -testLength, eight, ""},
		{"a key after its window", nil, -testLength - time.Millisecond, eight, "302"},
		{"a router that has just joined", func(g *testGranter) {
			g.views.Record(g.reading.Wall, eight[1:])
			g.views.Record(g.reading.Wall, eight)
		}, 0, eight, "too young"},
		{"a list with four others of eight", nil, 0, replaced, "differ"},
		{"a list with three others of eight", nil, 0, append([]string{"n1", "n2", "n3"}, eight[:5]...), ""},
		{"an asker whose group has not this router", nil, 0, eight[1:], "not in"},
		{"a wall clock that was set", func(g *testGranter) { g.reading.Wall = g.reading.Wall.Add(testSkew + 1) }, 0, eight, "was set"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newTestGranter(10)
			g.pass(wellBefore)
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

func TestGranterIsYoungAfterAStartAndAfterAClockStep(t *testing.T) {
	g := newTestGranter(10)
	margin := 2*testSkew + testLag
	g.pass(margin)
	if answer := g.Decide(clearanceFor(g.key(0), "r2", 1, eight)); answer.Granted {
		t.Error("a router vouches for a key that may be older than its memory")
	}
	g.pass(time.Second)
	if answer := g.Decide(clearanceFor(g.key(0), "r2", 1, eight)); !answer.Granted {
		t.Errorf("a router that is old enough refuses: %s", answer.Reason)
	}
	g.pass(wellBefore)
	g.reading.Wall = g.reading.Wall.Add(-time.Minute)
	for range 2 {
		if answer := g.Decide(clearanceFor(g.key(0), "r2", 1, eight)); answer.Granted {
			t.Error("a router vouches for a key from before its clock was set")
		}
	}
	g.pass(margin + time.Second)
	if answer := g.Decide(clearanceFor(g.key(0), "r2", 1, eight)); !answer.Granted {
		t.Errorf("a router refuses for ever after its clock was set: %s", answer.Reason)
	}
}

func TestGranterNeverRevivesAForgottenKey(t *testing.T) {
	g := newTestGranter(10)
	g.pass(wellBefore)
	key := g.key(0)
	g.Decide(clearanceFor(key, "r2", 1, eight))
	g.pass(testLength + 3*testSkew)
	g.Decide(clearanceFor(g.key(0), "r2", 2, eight))
	if g.Len() != 1 {
		t.Fatalf("%d keys are kept", g.Len())
	}
	// The clock goes back in steps that are too small to be noticed.
	g.reading.Wall = key.IssuedAt()
	g.clock.anchor = g.reading
	if answer := g.Decide(clearanceFor(key, "r3", 1, eight)); answer.Granted {
		t.Error("a key that was yielded to r2 is yielded to r3")
	}
}

func TestGranterNamesTheHolderAndKeepsLaterAttempts(t *testing.T) {
	g := newTestGranter(1)
	g.pass(wellBefore)
	key := g.key(0)
	first, second, other := clearanceFor(key, "r2", 1, eight), clearanceFor(key, "r2", 2, eight), clearanceFor(key, "r3", 9, eight)
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
		t.Error("an attempt that was given up is granted")
	}
	g.Release(ReleaseRequest{Key: key, Holder: second.Holder})
	if answer := g.Decide(second); answer.Granted {
		t.Error("a released attempt is granted")
	}
	if answer := g.Decide(other); !answer.Granted {
		t.Errorf("a released key is refused: %s", answer.Reason)
	}
	if answer := g.Decide(clearanceFor(g.key(0), "r3", 1, eight)); answer.Granted {
		t.Error("a full table yields")
	}
}

func TestRecordNamesAnotherBodyOnlyWhenProved(t *testing.T) {
	table, now := NewTable(2), time.Now()
	record, first, err := table.Begin("k", "d1", now, now.Add(testLength))
	if !first || err != nil {
		t.Fatal(first, err)
	}
	table.Drop(record)
	record.Finish(Outcome{Error: code.New(code.ClearanceMissing, "")})
	if outcome, err := record.Wait(t.Context(), "d2"); err != nil || outcome.Error.Code != code.ClearanceMissing {
		t.Errorf("a key that was never cleared answers %v %v", outcome, err)
	}
	record, first, _ = table.Begin("k", "d1", now, now.Add(testLength))
	if !first {
		t.Fatal("a dropped key can't be begun again")
	}
	record.MarkCleared()
	record.Finish(Outcome{})
	if _, err := record.Wait(t.Context(), "d2"); !code.Is(err, code.KeyReused) {
		t.Errorf("another body answers %v", err)
	}
	if _, _, err := table.Begin("k2", "", now.Add(testLength+1), now.Add(2*testLength)); err != nil {
		t.Error(err)
	}
	if _, _, err := table.Begin("k", "d1", now, now.Add(testLength)); !code.Is(err, code.KeyExpired) {
		t.Errorf("a forgotten key answers %v", err)
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
