package knowledge

import (
	"math/rand/v2"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/platform"
)

// TestEndpointIsHeldIfOthersHaveNotReachedTheStoreSinceItFailed guards against the removal of live endpoints after an outage that the last news of others are older than.
func TestEndpointIsHeldIfOthersHaveNotReachedTheStoreSinceItFailed(t *testing.T) {
	failed := testStart.Add(10 * time.Second)
	for name, last := range map[string]struct{ until, back time.Duration }{
		"read before the failure":   {until: -100 * time.Millisecond, back: 500 * time.Millisecond},
		"read long ago":             {until: 100 * time.Millisecond, back: 101*time.Millisecond + defaultEntryLifetime/3},
		"read before, back at once": {until: 0, back: time.Millisecond},
	} {
		tracker := NewTracker(nil)
		until := failed.Add(last.until)
		tracker.Apply(Update{Full: true, Era: 1, Revision: 10, Items: twoEndpoints(1), Available: Availability{testStart, until}}, until)
		tracker.MarkStoreLost(failed)
		back := failed.Add(last.back)
		if returned := tracker.MarkStoreRestored(back); returned != back {
			t.Errorf("%s: the store returned %v before this VM reached it", name, back.Sub(returned))
		}
		expired := []platform.Item{inEra(1, deletedItem("b", 11))}
		tracker.Apply(Update{Era: 1, Revision: 11, ConfirmedAt: back, Items: expired}, back)
		wantReady(t, tracker, "a", "b")
	}
}

// TestLateVMHoldsAsLongAsTheFirstReader passes the return of the store on from VM to VM.
func TestLateVMHoldsAsLongAsTheFirstReader(t *testing.T) {
	var vms []*Tracker
	for range 3 {
		vm := NewTracker(nil)
		vm.Apply(Update{Full: true, Era: 1, Revision: 10, Items: twoEndpoints(1)}, testStart)
		vm.MarkStoreLost(testStart)
		vms = append(vms, vm)
	}
	back, late := testStart.Add(time.Second), testStart.Add(2*time.Second)
	vms[0].MarkStoreRestored(back)
	vms[0].Apply(Update{Era: 1, Revision: 10, ConfirmedAt: late, Available: Availability{back, late}}, late)
	learnAt(t, vms[1], vms[0], late)
	learnAt(t, vms[2], vms[1], late)
	vms[2].MarkStoreRestored(late)
	expired := []platform.Item{inEra(1, deletedItem("b", 11))}
	vms[2].Apply(Update{Era: 1, Revision: 11, ConfirmedAt: late, Items: expired}, late)
	wantReady(t, vms[2], "a", "b")
	readNothing(vms[2], back.Add(HoldAfterRecovery-time.Millisecond))
	wantReady(t, vms[2], "a", "b")
	readNothing(vms[2], back.Add(HoldAfterRecovery))
	wantReady(t, vms[2], "a")
}

// TestSpanDoesNotGrowWhenVMsPassItOn tells of a span through many VMs with random delays.
func TestSpanDoesNotGrowWhenVMsPassItOn(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 35))
	delay := func() time.Duration { return time.Duration(random.IntN(40_000)) * time.Microsecond }
	truth := Availability{testStart, testStart.Add(time.Second)}
	now := truth.Until
	known := truth
	for hop := range 20 {
		requestedAt := now.Add(delay())
		arrivedAt := requestedAt.Add(delay())
		now = arrivedAt.Add(delay())
		response := SyncResponse{WaitedMS: now.Sub(arrivedAt).Milliseconds()}
		response.setAvailable(known, now)
		now = now.Add(delay())
		known = response.available(requestedAt, now)
		if known.Since < truth.Since || known.Until > truth.Until {
			t.Fatalf("hop %d: the span is %v to %v, the true one is %v long", hop, known.Since.Sub(truth.Since), known.Until.Sub(truth.Since), truth.Until.Sub(truth.Since))
		}
	}
}

// TestSpansAreJoinedOnlyIfTheyOverlap guards against an outage that disappears when two VMs tell of the spans before and after it.
func TestSpansAreJoinedOnlyIfTheyOverlap(t *testing.T) {
	at := func(seconds int) clock.Boot { return testStart.Add(time.Duration(seconds) * time.Second) }
	span := func(since, until int) Availability { return Availability{at(since), at(until)} }
	for name, test := range map[string]struct{ known, told, want Availability }{
		"nothing known":        {Availability{}, span(1, 2), span(1, 2)},
		"nothing told":         {span(1, 2), Availability{}, span(1, 2)},
		"later, apart":         {span(1, 2), span(3, 4), span(3, 4)},
		"earlier, apart":       {span(3, 4), span(1, 2), span(3, 4)},
		"begins earlier":       {span(3, 5), span(1, 4), span(1, 5)},
		"ends later":           {span(1, 4), span(3, 5), span(1, 5)},
		"ends before it began": {span(1, 4), span(6, 5), span(1, 4)},
	} {
		known := test.known
		known.add(test.told)
		if known != test.want {
			t.Errorf("%s: %v, want %v", name, known, test.want)
		}
	}
}
