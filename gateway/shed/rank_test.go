package shed

import (
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// TestRoutePriorityDecidesWithinAWorkspace guards against an overload in which all kinds of requests of a workspace with a
// priority are refused alike, and against a route that goes before a more urgent workspace.
func TestRoutePriorityDecidesWithinAWorkspace(t *testing.T) {
	type kind struct {
		workspace string
		priority  int
		route     int
	}
	kinds := []kind{{"a", 1, 0}, {"a", 1, 2}, {"b", 2, 0}, {"b", 2, 2}}
	refused := map[kind]int{}
	s, now := New(), clock.Boot(time.Hour)
	for i := range 4000 {
		now = now.Add(5 * time.Millisecond)
		k := kinds[i%len(kinds)]
		decision := s.Decide(Request{Workspace: k.workspace, Priority: k.priority, RoutePriority: k.route, Cost: 1,
			Draw: uint64(i*7919%1000) * (1 << 54), Backlog: 200 * time.Millisecond, Objective: time.Second, Occupancy: 1}, now)
		if decision.Refused {
			refused[k]++
		}
	}
	for i := 1; i < len(kinds); i++ {
		if refused[kinds[i]] < refused[kinds[i-1]] {
			t.Errorf("%+v: %d refused, %d of the more urgent %+v", kinds[i], refused[kinds[i]], refused[kinds[i-1]], kinds[i-1])
		}
	}
	if refused[kinds[0]] > 0 || 2*refused[kinds[2]] > refused[kinds[3]] {
		t.Errorf("refused: %v", refused)
	}
}
