package shed

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// TestReturnsFollowTheOverload refuses callers that are mostly refused at the beginning of an overload,
// two seconds into it, and after a pause.
func TestReturnsFollowTheOverload(t *testing.T) {
	const spread = 1 << 31 // The middle of the possible values.
	caller := Request{Draw: spread, TimeLeft: time.Minute}
	now := clock.Boot(time.Hour)
	var o overload
	if wait := o.retryAfter(caller, 1, now); wait != minRetryAfter {
		t.Errorf("at the begin: %v", wait)
	}
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		o.retryAfter(caller, 1, now)
	}
	if wait := o.retryAfter(caller, 1, now); wait != minRetryAfter+2*time.Second {
		t.Errorf("after two seconds: %v", wait)
	}
	if wait := o.retryAfter(caller, mostlyRefused/2, now); wait > 2*minRetryAfter {
		t.Errorf("a caller that is rarely refused waits for %v", wait)
	}
	now = now.Add(2 * overloadGap)
	if wait := o.retryAfter(caller, 1, now); wait != minRetryAfter {
		t.Errorf("at the beginning of the next overload: %v", wait)
	}
}

// TestReturnsLeaveTimeForTheAnswer checks for arbitrary overloads and callers that no caller waits
// for more than a third of its time, nor for less than the shortest time.
func TestReturnsLeaveTimeForTheAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var o overload
		now := clock.Boot(time.Hour)
		for range rapid.IntRange(1, 40).Draw(t, "refusals") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "pause")))
			caller := Request{Draw: rapid.Uint64().Draw(t, "draw"), TimeLeft: time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "left"))}
			limit := maxRetryAfter
			if caller.TimeLeft > 0 {
				limit = caller.TimeLeft / 3
			}
			wait := o.retryAfter(caller, rapid.Float64Range(0, 1).Draw(t, "probability"), now)
			if wait < minRetryAfter || wait > max(limit+time.Microsecond, 2*minRetryAfter) {
				t.Fatalf("%v with %v left", wait, caller.TimeLeft)
			}
		}
	})
}

// TestReturningCallersAreKnown checks how long callers of one route seem to have been waiting.
func TestReturningCallersAreKnown(t *testing.T) {
	known := timeouts{}
	for _, step := range []struct{ left, want time.Duration }{
		{12 * time.Second, 0},
		{12 * time.Second, 0},
		{8 * time.Second, 4 * time.Second},
		{0, 0},
	} {
		got := known.waited(Request{Route: "chats", TimeLeft: step.left})
		if difference := (got - step.want).Abs(); difference > 10*time.Millisecond {
			t.Errorf("with %v left: waited %v, want %v", step.left, got, step.want)
		}
	}
	if got := known.waited(Request{Route: "tags", TimeLeft: 3 * time.Second}); got != 0 {
		t.Errorf("another route: waited %v", got)
	}
}
