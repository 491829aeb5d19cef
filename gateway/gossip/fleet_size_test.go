package gossip

import (
	"testing"
	"time"
)

// TestFleetSizeCountsSilentVMsUntilTheyAreAssumedGone guards against shares of a common allowance that grow in a cut.
func TestFleetSizeCountsSilentVMsUntilTheyAreAssumedGone(t *testing.T) {
	table := NewTable("10.0.0.1", nil)
	if size, settled := table.FleetSize(testStart); size != 1 || settled {
		t.Errorf("a fleet of %d, settled %v, want 1 and false", size, settled)
	}
	table.Receive(Report{Address: "10.0.0.2", Incarnation: 1, Sequence: 1, Members: []string{"10.0.0.4"}}, testStart)
	table.Receive(Report{Address: "10.0.0.3", Incarnation: 1, Sequence: 1, Leaving: true}, testStart)
	for _, step := range []struct {
		after time.Duration
		size  int
	}{{0, 4}, {leftTTL, 4}, {leftTTL + 1, 3}, {forgetAfter + 1, 2}, {silentTTL, 2}, {silentTTL + 1, 1}} {
		now := testStart.Add(step.after)
		table.UpdateLiveness(now)
		if size, _ := table.FleetSize(now); size != step.size {
			t.Errorf("after %v: a fleet of %d, want %d", step.after, size, step.size)
		}
	}
	table.Receive(Report{Address: "10.0.0.2", Incarnation: 1, Sequence: 2}, testStart.Add(silentTTL))
	if size, _ := table.FleetSize(testStart.Add(silentTTL)); size != 2 {
		t.Errorf("a fleet of %d after the VM is back, want 2", size)
	}
}
