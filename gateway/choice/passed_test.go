package choice

import (
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// TestPickSaysWhatItPassedOver loads one of three engines, which alone serves well.
func TestPickSaysWhatItPassedOver(t *testing.T) {
	endpoints := testEndpoints(3)
	table, now := newTestTable(endpoints), clock.Boot(time.Hour)
	for range 20 {
		table.RecordOutcome("e00", false, now)
		table.RecordOutcome("e01", true, now)
		table.RecordOutcome("e02", true, now)
	}
	table.Avoid("e01", now.Add(time.Second))
	pick := func() Pick {
		pick, _ := table.Pick(endpoints, Request{Prompt: chatPrompt(1, 1), Objective: testObjective}, excludeNone, now)
		return pick
	}
	if first := pick(); first.Endpoint.ID != "e00" || first.Passed != nil {
		t.Errorf("%s with %+v, want e00 and nothing passed over, as none has work", first.Endpoint.ID, first.Passed)
	}
	table.Begin(pick(), chatPrompt(1, 1), now)
	second := pick()
	passed := second.Passed
	if passed == nil {
		t.Fatalf("%s at load %d: nothing passed over", second.Endpoint.ID, second.Load)
	}
	if passed.Avoided != 1 || passed.OverBound != 0 || passed.Load != 0 || passed.FaultPercent <= second.FaultPercent {
		t.Errorf("passed over %+v for an engine of %d%% faults", *passed, second.FaultPercent)
	}
}
