package choice

import (
	"fmt"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// noticeStart is when the tests of notices begin.
const noticeStart = clock.Boot(time.Hour)

// pickedOf returns which of the endpoints 40 requests in a row are sent to.
func pickedOf(table *Table, endpoints []*traffic.Endpoint, now clock.Boot) map[string]int {
	picked := map[string]int{}
	for offset := range uint64(40) {
		i := uint64(now) + offset // Chats of a later time have been nowhere yet.
		if pick, ok := table.Pick(endpoints, chat(i, i), testObjective, none, now); ok {
			picked[pick.Endpoint.ID]++
			table.Begin(pick, chat(i, i), now).End()
		}
	}
	return picked
}

// TestLeavingEndpointIsLeft lets an endpoint say that it leaves: others get all new
// requests, also after its entry has vanished and come back, until an instance that was
// started later has its id.
func TestLeavingEndpointIsLeft(t *testing.T) {
	endpoints := testEndpoints(3)
	for _, endpoint := range endpoints {
		endpoint.StartedMS = 7
	}
	table := newTestTable(endpoints)
	table.SetLeavingGrace(time.Second)
	leaver := endpoints[1]
	now := noticeStart
	table.RecordLeaving(leaver, now)
	if picked := pickedOf(table, endpoints, now); picked[leaver.ID] > 0 || len(picked) != 2 {
		t.Errorf("after its word the requests went to %v", picked)
	}
	others := &knowledge.Snapshot{Endpoints: map[string]*traffic.Endpoint{endpoints[0].ID: endpoints[0], endpoints[2].ID: endpoints[2]}}
	table.Update(others)
	back := *leaver
	back.Address = "10.0.0.99:80"
	others.Endpoints[back.ID] = &back
	table.Update(others)
	endpoints[1] = &back
	if picked := pickedOf(table, endpoints, now.Add(time.Minute)); picked[back.ID] > 0 {
		t.Errorf("after its entry came back the requests went to %v", picked)
	}
	restarted := back
	restarted.StartedMS = 8
	others.Endpoints[back.ID] = &restarted
	table.Update(others)
	endpoints[1] = &restarted
	if picked := pickedOf(table, endpoints, now.Add(2*time.Minute)); picked[back.ID] == 0 {
		t.Errorf("after its restart the requests went to %v", picked)
	}
}

// TestLastEndpointServesWhileItLeaves has nothing but endpoints that leave: they get
// requests for the agreed time and none after it.
func TestLastEndpointServesWhileItLeaves(t *testing.T) {
	endpoints := testEndpoints(2)
	table := newTestTable(endpoints)
	table.SetLeavingGrace(time.Second)
	for _, endpoint := range endpoints {
		table.RecordLeaving(endpoint, noticeStart)
	}
	for _, endpoint := range endpoints {
		table.RecordLeaving(endpoint, noticeStart.Add(900*time.Millisecond)) // A later word does not move the end.
	}
	if picked := pickedOf(table, endpoints, noticeStart.Add(999*time.Millisecond)); len(picked) == 0 {
		t.Error("no endpoint serves within the agreed time")
	}
	if picked := pickedOf(table, endpoints, noticeStart.Add(time.Second)); len(picked) != 0 {
		t.Errorf("after the agreed time the requests went to %v", picked)
	}
}

// TestRestingEndpointIsLeftAlone lets endpoints ask for rest, one of them twice: no
// request reaches them before the later end, and callers learn when the first is back.
func TestRestingEndpointIsLeftAlone(t *testing.T) {
	endpoints := testEndpoints(2)
	table := newTestTable(endpoints)
	now := noticeStart
	table.RecordBackoff(endpoints[0], now.Add(3*time.Second), now)
	table.RecordBackoff(endpoints[0], now.Add(time.Second), now)
	if picked := pickedOf(table, endpoints, now.Add(2*time.Second)); picked[endpoints[0].ID] > 0 || len(picked) != 1 {
		t.Errorf("the requests went to %v", picked)
	}
	if left := table.BackoffRemaining(endpoints, now); left != 0 {
		t.Errorf("%v are left though one endpoint does not rest", left)
	}
	table.RecordBackoff(endpoints[1], now.Add(5*time.Second), now)
	if picked := pickedOf(table, endpoints, now.Add(2999*time.Millisecond)); len(picked) != 0 {
		t.Errorf("while all rest the requests went to %v", picked)
	}
	if left := table.BackoffRemaining(endpoints, now.Add(time.Second)); left != 2*time.Second {
		t.Errorf("%v are left, want 2s", left)
	}
	if picked := pickedOf(table, endpoints, now.Add(3*time.Second)); picked[endpoints[0].ID] == 0 {
		t.Errorf("after its rest the requests went to %v", picked)
	}
}

// TestNoticesAreBounded lets more instances leave than are remembered.
func TestNoticesAreBounded(t *testing.T) {
	table := newTestTable(nil)
	for i := range noticeLimit + 100 {
		table.RecordLeaving(&traffic.Endpoint{ID: fmt.Sprint(i)}, noticeStart.Add(time.Duration(i)))
	}
	if len(table.notices) != noticeLimit {
		t.Errorf("%d notices are kept", len(table.notices))
	}
	if _, known := table.notices[instance{id: fmt.Sprint(noticeLimit + 99)}]; !known {
		t.Error("the newest notice was dropped")
	}
}
