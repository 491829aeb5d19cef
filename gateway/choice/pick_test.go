package choice

import (
	"fmt"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/gateway/news"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	testService   = "engines"
	testObjective = 800 * time.Millisecond
)

var none = func(string) bool { return false }

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

// newTestTable returns a Table that knows the endpoints.
func newTestTable(endpoints []*traffic.Endpoint) *Table {
	table := NewTable("d0", 2)
	snapshot := &knowledge.Snapshot{Endpoints: map[string]*traffic.Endpoint{}}
	for _, endpoint := range endpoints {
		snapshot.Endpoints[endpoint.ID] = endpoint
	}
	table.Update(snapshot)
	return table
}

// chat returns the prompt of a chat: a root that all share, the chat's own
// history, and the request's part.
func chat(number, request uint64) *traffic.Prompt {
	return &traffic.Prompt{Parts: []traffic.Part{
		{ID: 1, Tokens: 500},
		{ID: 1000 + number, Tokens: 10_000},
		{ID: 1_000_000 + request, Tokens: 1_000},
	}}
}

// TestChatStaysThoughItsRootIsEverywhere serves more chats than the places that
// are remembered of their common root.
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
			prompt := chat(number, request)
			pick, _ := table.Pick(endpoints, prompt, testObjective, none, now)
			if before, ok := at[number]; ok && before != pick.Endpoint.ID {
				t.Fatalf("round %d: chat %d moved from %s to %s, reason %s, missing %d", round, number, before, pick.Endpoint.ID, pick.Reason, pick.MissingTokens)
			}
			at[number] = pick.Endpoint.ID
			table.Begin(pick, prompt, now).End()
		}
	}
}

// TestSpilledChatIsCopied fills the holder of a chat; the next request goes to
// another engine that copies from the holder.
func TestSpilledChatIsCopied(t *testing.T) {
	endpoints := testEndpoints(6)
	table := newTestTable(endpoints)
	now := clock.Boot(time.Hour)
	first, _ := table.Pick(endpoints, chat(1, 1), testObjective, none, now)
	for request := range uint64(40) {
		table.Begin(Pick{Endpoint: first.Endpoint}, chat(1, request), now)
	}
	pick, _ := table.Pick(endpoints, chat(1, 99), testObjective, none, now)
	if pick.Endpoint.ID == first.Endpoint.ID {
		t.Fatal("the full holder was picked")
	}
	if pick.FetchFrom == nil || pick.FetchFrom.ID != first.Endpoint.ID {
		t.Errorf("the copy comes from %v, want %s", pick.FetchFrom, first.Endpoint.ID)
	}
}

// TestLoadStaysWithinTheMultiple floods one chat from eight VMs that exchange
// reports; no engine may go over the multiple of the mean and three.
func TestLoadStaysWithinTheMultiple(t *testing.T) {
	endpoints := testEndpoints(12)
	var tables []*Table
	for range 8 {
		tables = append(tables, newTestTable(endpoints))
	}
	now := clock.Boot(time.Hour)
	load := map[string]int{}
	over, sends := 0, 0
	for request := range uint64(240) {
		number := request % 40
		if request%3 != 0 {
			number = 7
		}
		table := tables[request%8]
		prompt := chat(number, request)
		pick, _ := table.Pick(endpoints, prompt, testObjective, none, now)
		mean := float64(request) / float64(len(endpoints))
		if float64(load[pick.Endpoint.ID]) > 2*mean+3 {
			over++
		}
		sends++
		load[pick.Endpoint.ID]++
		table.Begin(pick, prompt, now)
		now = now.Add(10 * time.Millisecond)
		if request%8 == 7 {
			exchange(tables, now)
		}
	}
	if over*100 > 3*sends {
		t.Errorf("%d of %d requests reached an engine over the multiple", over, sends)
	}
}

// exchange lets each VM tell all others of its work.
func exchange(tables []*Table, now clock.Boot) {
	for from, table := range tables {
		report := news.Report{Address: fmt.Sprint("vm", from)}
		table.FillReport(&report, now)
		for to, other := range tables {
			if to != from {
				other.ApplyReport(report, now)
			}
		}
	}
}

// TestFailingEndpointIsAvoided lets one of three plain endpoints fail half of
// its requests.
func TestFailingEndpointIsAvoided(t *testing.T) {
	endpoints := testEndpoints(3)
	table := newTestTable(endpoints)
	now := clock.Boot(time.Hour)
	picked := 0
	for request := range 200 {
		now = now.Add(20 * time.Millisecond)
		pick, _ := table.Pick(endpoints, &traffic.Prompt{}, testObjective, none, now)
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

// TestAllFailingIsNormal lets every endpoint fail half of its requests; none may
// be left out. All are in other failure domains than the VM.
func TestAllFailingIsNormal(t *testing.T) {
	endpoints := testEndpoints(3)
	table := newTestTable(endpoints)
	table.domain = "elsewhere"
	now := clock.Boot(time.Hour)
	picked := map[string]int{}
	for request := range 300 {
		now = now.Add(20 * time.Millisecond)
		pick, _ := table.Pick(endpoints, &traffic.Prompt{}, testObjective, none, now)
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

// TestLongReadsAreSpread starts forty chats with long prompts within half a
// second; no engine may be given much more to read than it can within the
// objective.
func TestLongReadsAreSpread(t *testing.T) {
	endpoints := testEndpoints(12)
	table := newTestTable(endpoints)
	now := clock.Boot(time.Hour)
	reading := map[string]int{}
	for number := range uint64(40) {
		now = now.Add(12 * time.Millisecond)
		prompt := chat(number, number)
		pick, _ := table.Pick(endpoints, prompt, testObjective, none, now)
		table.Begin(pick, prompt, now)
		reading[pick.Endpoint.ID] += pick.PrefillTokens
	}
	for id, tokens := range reading {
		if limit := int(testObjective.Milliseconds() * readTokensPerMS * 5 / 4); tokens > limit {
			t.Errorf("%s was given %d tokens to read, more than %d", id, tokens, limit)
		}
	}
}

// TestChatIsCopiedFromALeavingEngine lets the holder of a chat leave: it takes no
// new work, but its memory can still be copied.
func TestChatIsCopiedFromALeavingEngine(t *testing.T) {
	endpoints := testEndpoints(6)
	table := newTestTable(endpoints)
	now := clock.Boot(time.Hour)
	first, _ := table.Pick(endpoints, chat(1, 1), testObjective, none, now)
	work := table.Begin(first, chat(1, 1), now)
	work.PrefillDone()
	work.End()
	var others []*traffic.Endpoint
	for _, endpoint := range endpoints {
		if endpoint.ID != first.Endpoint.ID {
			others = append(others, endpoint)
		}
	}
	pick, _ := table.Pick(others, chat(1, 2), testObjective, none, now.Add(time.Second))
	if pick.FetchFrom == nil || pick.FetchFrom.ID != first.Endpoint.ID {
		t.Errorf("the copy comes from %v, want %s", pick.FetchFrom, first.Endpoint.ID)
	}
}

// TestUnreadChatIsWaitedFor picks for a chat whose prompt an engine still reads:
// the choice tells to wait until it is read, and at most for the estimate.
func TestUnreadChatIsWaitedFor(t *testing.T) {
	endpoints := testEndpoints(6)
	table := newTestTable(endpoints)
	now := clock.Boot(time.Hour)
	first, _ := table.Pick(endpoints, chat(1, 1), testObjective, none, now)
	if first.PrefillWait != 0 {
		t.Errorf("a chat that nobody reads is waited for: %v", first.PrefillWait)
	}
	work := table.Begin(first, chat(1, 1), now)
	second, _ := table.Pick(endpoints, chat(1, 2), testObjective, none, now.Add(time.Millisecond))
	if second.Endpoint != first.Endpoint || second.PrefillWait <= 0 {
		t.Fatalf("the second request goes to %s and waits for %v", second.Endpoint.ID, second.PrefillWait)
	}
	late, _ := table.Pick(endpoints, chat(1, 2), testObjective, none, now.Add(second.PrefillWait+time.Millisecond))
	if late.PrefillWait != 0 {
		t.Errorf("after the estimate it waits for %v", late.PrefillWait)
	}
	work.PrefillDone()
	third, _ := table.Pick(endpoints, chat(1, 3), testObjective, none, now.Add(2*time.Millisecond))
	if third.PrefillWait != 0 {
		t.Errorf("a chat that was read is waited for: %v", third.PrefillWait)
	}
}
