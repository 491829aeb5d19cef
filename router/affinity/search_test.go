package affinity

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testFleet is an ordered list of engines, each with a home of its own.
type testFleet struct {
	now   time.Time
	homes []*Index
	full  []bool
}

const testEngine, testChat = "engine", 7

// newTestFleet returns engines that their homes have known for the retention
// time, so that each Index is complete.
func newTestFleet(count int) *testFleet {
	f := &testFleet{now: time.Unix(1, 0), full: make([]bool, count)}
	for range count {
		f.homes = append(f.homes, NewIndex(1000, testRetention))
		f.homes[len(f.homes)-1].Locate(testEngine, testChat, f.now)
	}
	f.now = f.now.Add(testRetention / 2)
	for _, home := range f.homes {
		home.Locate(testEngine, testChat, f.now)
	}
	f.now = f.now.Add(testRetention / 2)
	return f
}

// ask asks one home to admit the chat, as a router does.
func (f *testFleet) ask(index int, mode LookupMode) (Refusal, bool) {
	home := f.homes[index]
	if refusal, declined := home.Check(testEngine, testChat, mode, f.now); declined {
		return refusal, false
	}
	if f.full[index] {
		home.RecordRefusal(testEngine, testChat, f.now)
		return RefusalFull, false
	}
	home.Record(testEngine, testChat, ContextHere, f.now)
	return 0, true
}

// request returns the index of the engine that admits the chat, or noCandidate,
// and the indexes of the engines that were asked, in order.
func (f *testFleet) request(findContext bool) (engine int, asked []int) {
	s := NewSearch(len(f.homes), findContext)
	for {
		index, mode, ok := s.Next()
		if !ok {
			return noCandidate, asked
		}
		asked = append(asked, index)
		refusal, admitted := f.ask(index, mode)
		if admitted {
			return index, asked
		}
		if refusal == RefusalContextLeft {
			s.RecordContextLeft(f.homes[index].SinceAdmission(testEngine, testChat, f.now))
			continue
		}
		s.RecordRefusal(refusal)
	}
}

func TestSpilledChatIsFoundAgain(t *testing.T) {
	for spilled := range maxDeclines {
		f := newTestFleet(maxDeclines + 2)
		f.request(false)
		for i := range spilled {
			f.full[i] = true
		}
		if at, _ := f.request(true); at != spilled {
			t.Fatalf("spilled to %d, want %d", at, spilled)
		}
		clear(f.full)
		for range 3 {
			if at, _ := f.request(true); at != spilled {
				t.Errorf("found at %d, want %d", at, spilled)
			}
		}
	}
}

func TestSpilledChatIsFoundAfterOneHomeRestarts(t *testing.T) {
	for _, spilled := range []int{0, 1, 2} {
		for restarted := range spilled + 1 {
			f := newTestFleet(6)
			for i := range spilled {
				f.full[i] = true
			}
			f.request(true)
			clear(f.full)
			f.homes[restarted] = NewIndex(1000, testRetention)
			for range 20 {
				if at, _ := f.request(true); at != spilled {
					t.Errorf("home %d restarted: found at %d, want %d", restarted, at, spilled)
				}
				f.now = f.now.Add(testRetention / 8)
			}
		}
	}
}

func TestRefusedChatReturnsToItsFirstChoice(t *testing.T) {
	f := newTestFleet(6)
	f.request(true)
	for i := range f.full {
		f.full[i] = true
	}
	if at, asked := f.request(true); at != noCandidate || len(asked) != len(f.full) {
		t.Fatalf("a full fleet admitted at %d after %v", at, asked)
	}
	clear(f.full)
	if at, _ := f.request(true); at != 0 {
		t.Errorf("went to %d", at)
	}
}

func TestChatOfAFullEngineIsFoundAtItsNewOne(t *testing.T) {
	f := newTestFleet(6)
	f.full[0] = true
	f.request(true)
	f.full[1] = true
	if at, _ := f.request(true); at != 2 {
		t.Fatalf("went to %d, want the third choice", at)
	}
	f.full[0], f.full[2] = false, true
	if at, _ := f.request(true); at != 0 {
		t.Fatalf("went to %d, want the first choice, which has capacity again", at)
	}
	clear(f.full)
	if at, _ := f.request(true); at != 0 {
		t.Errorf("found at %d, want the first choice", at)
	}
}

// TestSearchEndsOnlyWhenAllAreFull checks that a request is never refused while
// some engine has capacity, whatever the homes' indexes say, and that the number
// of candidates asked is bounded: each one once, plus maxDeclines and maxProbes.
func TestSearchEndsOnlyWhenAllAreFull(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(rapid.IntRange(1, 8).Draw(t, "engines"))
		for range rapid.IntRange(1, 12).Draw(t, "requests") {
			for i := range f.full {
				f.full[i] = rapid.Bool().Draw(t, "full")
				if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
					f.homes[i] = NewIndex(1000, testRetention)
				}
			}
			at, asked := f.request(rapid.Bool().Draw(t, "search"))
			if (at == noCandidate) != !slices.Contains(f.full, false) {
				t.Fatalf("admitted at %d with full engines %v", at, f.full)
			}
			if len(asked) > len(f.full)+maxDeclines+maxProbes {
				t.Fatalf("asked %v", asked)
			}
		}
	})
}

// TestChatThatSpilledTwiceReturnsToTheNewerEngine guards against a return to an
// outdated context: a chat spills to its second candidate, then to its first,
// and is then refused by all. The first candidate has the newer context.
func TestChatThatSpilledTwiceReturnsToTheNewerEngine(t *testing.T) {
	f := newTestFleet(4)
	f.full[0] = true
	if at, _ := f.request(true); at != 1 {
		t.Fatalf("spilled to %d, want 1", at)
	}
	f.now = f.now.Add(time.Second)
	f.full[0], f.full[1] = false, true
	if at, _ := f.request(true); at != 0 {
		t.Fatalf("spilled to %d, want 0", at)
	}
	f.now = f.now.Add(time.Second)
	for i := range f.full {
		f.full[i] = true
	}
	f.request(true)
	f.now = f.now.Add(time.Second)
	clear(f.full)
	if at, _ := f.request(true); at != 0 {
		t.Errorf("went to %d, want 0, which had the chat last", at)
	}
}
