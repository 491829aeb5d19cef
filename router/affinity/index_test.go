package affinity

import (
	"testing"
	"time"
)

const testKeep = time.Hour

func TestIndexKeepsPlacesThatAreUsed(t *testing.T) {
	index, now := NewIndex(1000, testKeep), time.Unix(1, 0)
	index.Record("engine", 1, ContextHere, now)
	index.Record("engine", 2, ContextElsewhere, now)
	for range 5 {
		now = now.Add(testKeep * 2 / 5)
		if place, _ := index.Locate("engine", 1, now); place != ContextHere {
			t.Fatalf("at %v, chat 1 is at %v", now, place)
		}
	}
	if place, _ := index.Locate("engine", 2, now); place != ContextUnknown {
		t.Errorf("chat 2 was not looked for and is still at %v", place)
	}
	if place, _ := index.Locate("other", 1, now); place != ContextUnknown {
		t.Errorf("another engine has chat 1 at %v", place)
	}
}

func TestIndexIsCompleteAfterTheKeepTime(t *testing.T) {
	index, start := NewIndex(1000, testKeep), time.Unix(1, 0)
	for minutes := 0; minutes <= 120; minutes += 20 {
		_, complete := index.Locate("engine", 1, start.Add(time.Duration(minutes)*time.Minute))
		if want := minutes >= 60; complete != want {
			t.Errorf("after %d minutes, complete is %v", minutes, complete)
		}
	}
	if _, complete := index.Locate("engine", 1, start.Add(6*time.Hour)); complete {
		t.Error("complete after hours without a look")
	}
}

func TestIndexIsBounded(t *testing.T) {
	const limit = 100
	index := NewIndex(limit, testKeep)
	for chat := range uint64(10 * limit) {
		index.Record("engine", chat, ContextHere, time.Unix(1, 0))
		if index.Len() > limit {
			t.Fatalf("%d entries", index.Len())
		}
	}
}
