package choice

import (
	"fmt"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	testService   = "engines"
	testObjective = 800 * time.Millisecond
	// testTokensPerMS is the prefill speed that is assumed until it is learned.
	testTokensPerMS = 50
)

var excludeNone = func(string) bool { return false }

// testEndpoints returns count engines in three failure domains.
func testEndpoints(count int) []*traffic.Endpoint {
	var endpoints []*traffic.Endpoint
	for i := range count {
		endpoints = append(endpoints, &traffic.Endpoint{
			ID:            fmt.Sprintf("e%02d", i),
			Service:       testService,
			Address:       fmt.Sprintf("10.0.0.%d:80", i+1),
			FailureDomain: fmt.Sprintf("d%d", i%3),
			Slots:         64,
		})
	}
	return endpoints
}

// newTestTable returns a Table in failure domain d0 whose snapshot lists the endpoints. Its choices are the
// same in each run.
func newTestTable(endpoints []*traffic.Endpoint) *Table {
	return newSeededTable(endpoints, 0)
}

// newSeededTable returns the Table of one of several VMs, each of which has a number.
func newSeededTable(endpoints []*traffic.Endpoint, number int) *Table {
	table := NewTable("d0", 2)
	table.Seed(uint64(number))
	snapshot := &knowledge.Snapshot{Endpoints: map[string]*traffic.Endpoint{}}
	for _, endpoint := range endpoints {
		snapshot.Endpoints[endpoint.ID] = endpoint
	}
	table.Update(snapshot)
	return table
}

// chatPrompt returns the prompt of a chat: a root that all chats share, the chat's
// history, and a part that only the request has.
func chatPrompt(number, request uint64) *traffic.Prompt {
	return &traffic.Prompt{Parts: []traffic.Part{
		{ID: 1, Tokens: 500},
		{ID: 1000 + number, Tokens: 10_000},
		{ID: 1_000_000 + request, Tokens: 1_000},
	}}
}

// TestChatStaysThoughItsRootIsEverywhere spreads chats with a common root over all
// engines, and checks that each chat stays at the engine that holds its history.
func TestChatStaysThoughItsRootIsEverywhere(t *testing.T) {
	endpoints := testEndpoints(18)
	table := newTestTable(endpoints)
	at := map[uint64]string{}
	request := uint64(0)
	now := clock.Boot(time.Hour)
	for round := range 5 {
		for number := range uint64(60) {
			request++
			now = now.Add(20 * time.Millisecond)
			prompt := chatPrompt(number, request)
			pick, _ := table.Pick(endpoints, Request{Prompt: prompt, Objective: testObjective}, excludeNone, now)
			if before, ok := at[number]; ok && before != pick.Endpoint.ID {
				t.Fatalf("round %d: chat %d moved from %s to %s, reason %s, missing %d", round, number, before, pick.Endpoint.ID, pick.Reason, pick.MissingTokens)
			}
			at[number] = pick.Endpoint.ID
			table.Begin(pick, prompt, now).End()
		}
	}
}

// TestSpilledChatIsCopied fills the holder of a chat. The next request must go to
// another engine, which copies from the holder.
func TestSpilledChatIsCopied(t *testing.T) {
	endpoints := testEndpoints(6)
	table := newTestTable(endpoints)
	now := clock.Boot(time.Hour)
	first, _ := table.Pick(endpoints, Request{Prompt: chatPrompt(1, 1), Objective: testObjective}, excludeNone, now)
	for request := range uint64(40) {
		table.Begin(Pick{Endpoint: first.Endpoint}, chatPrompt(1, request), now)
	}
	pick, _ := table.Pick(endpoints, Request{Prompt: chatPrompt(1, 99), Objective: testObjective}, excludeNone, now)
	if pick.Endpoint.ID == first.Endpoint.ID {
		t.Fatal("the full holder was picked")
	}
	if pick.FetchFrom == nil || pick.FetchFrom.ID != first.Endpoint.ID {
		t.Errorf("the copy comes from %v, want %s", pick.FetchFrom, first.Endpoint.ID)
	}
}

// TestLoadStaysWithinTheMultiple floods one chat from eight VMs that exchange reports.
// At most 3 % of the requests may reach an engine whose load is above twice the mean
// plus three.
func TestLoadStaysWithinTheMultiple(t *testing.T) {
	endpoints := testEndpoints(12)
	var tables []*Table
	for vm := range 8 {
		tables = append(tables, newSeededTable(endpoints, vm))
	}
	now := clock.Boot(time.Hour)
	load := map[string]int{}
	overBound, sends := 0, 0
	for request := range uint64(240) {
		number := request % 40
		if request%3 != 0 {
			number = 7
		}
		table := tables[request%8]
		prompt := chatPrompt(number, request)
		pick, _ := table.Pick(endpoints, Request{Prompt: prompt, Objective: testObjective}, excludeNone, now)
		mean := float64(request) / float64(len(endpoints))
		if float64(load[pick.Endpoint.ID]) > 2*mean+3 {
			overBound++
		}
		sends++
		load[pick.Endpoint.ID]++
		table.Begin(pick, prompt, now)
		now = now.Add(10 * time.Millisecond)
		if request%8 == 7 {
			exchangeReports(tables, now)
		}
	}
	if overBound*100 > 3*sends {
		t.Errorf("%d of %d requests reached an engine above the load bound", overBound, sends)
	}
}

// exchangeReports sends a report of each VM to all others.
func exchangeReports(tables []*Table, now clock.Boot) {
	for from, table := range tables {
		report := gossip.Report{Address: fmt.Sprint("vm", from)}
		table.FillReport(&report, now)
		for to, other := range tables {
			if to != from {
				other.ApplyReport(report, now)
			}
		}
	}
}

// TestFailingEndpointIsAvoided sends requests without prompts to three endpoints, one of
// which fails half of them. It must get far fewer than the others.
func TestFailingEndpointIsAvoided(t *testing.T) {
	endpoints := testEndpoints(3)
	table := newTestTable(endpoints)
	now := clock.Boot(time.Hour)
	picked := 0
	for request := range 200 {
		now = now.Add(20 * time.Millisecond)
		pick, _ := table.Pick(endpoints, Request{Prompt: &traffic.Prompt{}, Objective: testObjective}, excludeNone, now)
		bad := pick.Endpoint.ID == "e01"
		if bad {
			picked++
		}
		table.Begin(pick, &traffic.Prompt{}, now).End()
		table.RecordOutcome(pick.Endpoint.ID, bad && request%2 == 0, now)
	}
	if picked > 40 {
		t.Errorf("the failing endpoint got %d of 200 requests", picked)
	}
}

// TestAllFailingIsNormal lets every endpoint fail half of its requests. None may be left
// out, as no endpoint is better. All are in other failure domains than the VM.
func TestAllFailingIsNormal(t *testing.T) {
	endpoints := testEndpoints(3)
	table := newTestTable(endpoints)
	table.domain = "elsewhere"
	now := clock.Boot(time.Hour)
	picked := map[string]int{}
	for request := range 300 {
		now = now.Add(20 * time.Millisecond)
		pick, _ := table.Pick(endpoints, Request{Prompt: &traffic.Prompt{}, Objective: testObjective}, excludeNone, now)
		picked[pick.Endpoint.ID]++
		table.Begin(pick, &traffic.Prompt{}, now).End()
		table.RecordOutcome(pick.Endpoint.ID, request%2 == 0, now)
	}
	for _, endpoint := range endpoints {
		if picked[endpoint.ID] < 40 {
			t.Errorf("%s got %d of 300 requests", endpoint.ID, picked[endpoint.ID])
		}
	}
}

// TestLongPrefillsAreSpread starts forty chats with long prompts within half a second. No
// engine may be given much more to prefill than it can within the objective.
func TestLongPrefillsAreSpread(t *testing.T) {
	endpoints := testEndpoints(12)
	table := newTestTable(endpoints)
	now := clock.Boot(time.Hour)
	prefillTokens := map[string]int{}
	for number := range uint64(40) {
		now = now.Add(12 * time.Millisecond)
		prompt := chatPrompt(number, number)
		pick, _ := table.Pick(endpoints, Request{Prompt: prompt, Objective: testObjective}, excludeNone, now)
		table.Begin(pick, prompt, now)
		prefillTokens[pick.Endpoint.ID] += pick.PrefillTokens
	}
	for id, tokens := range prefillTokens {
		if limit := int(testObjective.Milliseconds() * testTokensPerMS * 5 / 4); tokens > limit {
			t.Errorf("%s was given %d tokens to prefill, more than %d", id, tokens, limit)
		}
	}
}

// TestChatIsCopiedFromALeavingEngine lets the holder of a chat leave. It takes no new
// work, but its cache can still be copied.
func TestChatIsCopiedFromALeavingEngine(t *testing.T) {
	endpoints := testEndpoints(6)
	table := newTestTable(endpoints)
	now := clock.Boot(time.Hour)
	first, _ := table.Pick(endpoints, Request{Prompt: chatPrompt(1, 1), Objective: testObjective}, excludeNone, now)
	work := table.Begin(first, chatPrompt(1, 1), now)
	work.PrefillDone()
	work.End()
	var others []*traffic.Endpoint
	for _, endpoint := range endpoints {
		if endpoint.ID != first.Endpoint.ID {
			others = append(others, endpoint)
		}
	}
	pick, _ := table.Pick(others, Request{Prompt: chatPrompt(1, 2), Objective: testObjective}, excludeNone, now.Add(time.Second))
	if pick.FetchFrom == nil || pick.FetchFrom.ID != first.Endpoint.ID {
		t.Errorf("the copy comes from %v, want %s", pick.FetchFrom, first.Endpoint.ID)
	}
}

// TestPickWaitsForPrefill picks for a chat whose prompt an engine is still
// prefilling. PrefillWait must be above 0 until the prefill is done or its estimate has
// passed.
func TestPickWaitsForPrefill(t *testing.T) {
	endpoints := testEndpoints(6)
	table := newTestTable(endpoints)
	now := clock.Boot(time.Hour)
	first, _ := table.Pick(endpoints, Request{Prompt: chatPrompt(1, 1), Objective: testObjective}, excludeNone, now)
	if first.PrefillWait != 0 {
		t.Errorf("wait of %v for a chat that no engine is prefilling", first.PrefillWait)
	}
	work := table.Begin(first, chatPrompt(1, 1), now)
	second, _ := table.Pick(endpoints, Request{Prompt: chatPrompt(1, 2), Objective: testObjective}, excludeNone, now.Add(time.Millisecond))
	if second.Endpoint != first.Endpoint || second.PrefillWait <= 0 {
		t.Fatalf("the second request goes to %s with a wait of %v", second.Endpoint.ID, second.PrefillWait)
	}
	late, _ := table.Pick(endpoints, Request{Prompt: chatPrompt(1, 2), Objective: testObjective}, excludeNone, now.Add(second.PrefillWait+time.Millisecond))
	if late.PrefillWait != 0 {
		t.Errorf("wait of %v after the estimate has passed", late.PrefillWait)
	}
	work.PrefillDone()
	third, _ := table.Pick(endpoints, Request{Prompt: chatPrompt(1, 3), Objective: testObjective}, excludeNone, now.Add(2*time.Millisecond))
	if third.PrefillWait != 0 {
		t.Errorf("wait of %v for a chat whose prefill is done", third.PrefillWait)
	}
}
