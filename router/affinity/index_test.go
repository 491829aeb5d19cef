package affinity

import (
	"testing"
	"time"
)

const testRetention = time.Hour

func TestIndexKeepsUsedEntries(t *testing.T) {
	index, now := NewIndex(1000, testRetention), time.Unix(1, 0)
	index.Record("engine", 1, ContextHere, now)
	index.Record("engine", 2, ContextElsewhere, now)
	for range 5 {
		now = now.Add(testRetention * 2 / 5)
		if location, _ := index.Locate("engine", 1, now); location != ContextHere {
			t.Fatalf("at %v, chat 1 is at %v", now, location)
		}
	}
	if location, _ := index.Locate("engine", 2, now); location != ContextUnknown {
		t.Errorf("chat 2 was not used and is still at %v", location)
	}
	if location, _ := index.Locate("other", 1, now); location != ContextUnknown {
		t.Errorf("another engine has chat 1 at %v", location)
	}
}

func TestIndexIsCompleteAfterRetention(t *testing.T) {
	index, start := NewIndex(1000, testRetention), time.Unix(1, 0)
	for minutes := 0; minutes <= 120; minutes += 20 {
		_, complete := index.Locate("engine", 1, start.Add(time.Duration(minutes)*time.Minute))
		if want := minutes >= 60; complete != want {
			t.Errorf("after %d minutes, complete is %v", minutes, complete)
		}
	}
	if _, complete := index.Locate("engine", 1, start.Add(6*time.Hour)); complete {
		t.Error("complete after hours without a lookup")
	}
}

func TestIndexIsBounded(t *testing.T) {
	const limit = 100
	index := NewIndex(limit, testRetention)
	for chat := range uint64(10 * limit) {
		index.Record("engine", chat, ContextHere, time.Unix(1, 0))
		if index.Len() > limit {
			t.Fatalf("%d entries", index.Len())
		}
	}
}
