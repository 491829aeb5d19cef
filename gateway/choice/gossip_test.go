package choice

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// gossipFleet simulates the VMs of a large fleet, which send reports in rounds.
type gossipFleet struct {
	tables []*Table
	random *rand.Rand
	now    clock.Boot
}

// Each VM reports to gossipTargets others every gossipPeriod.
const (
	gossipTargets = 4
	gossipPeriod  = 200 * time.Millisecond
)

// round lets each VM report to some random others and returns the number of announced
// locations.
func (g *gossipFleet) round() (announced int) {
	for from, table := range g.tables {
		report := gossip.Report{Address: fmt.Sprint("vm-", from), Heartbeats: []gossip.Heartbeat{{}}}
		table.FillReport(&report, g.now)
		announced += len(report.PartLocations)
		for _, to := range g.random.Perm(len(g.tables))[:gossipTargets] {
			if to != from {
				g.tables[to].ApplyReport(report, g.now)
			}
		}
	}
	g.now = g.now.Add(gossipPeriod)
	return announced
}

// TestAnnouncementsReachAllAndEnd serves many chats with a common root on many engines
// from many VMs, half of them away from the engine where they rank first. Within a few
// rounds of reports each VM must send a chat to its holder or copy from there, and once
// requests stop, announcements must stop too.
func TestAnnouncementsReachAllAndEnd(t *testing.T) {
	const vms, chats, rounds, soon = 60, 8, 12, 5
	endpoints := testEndpoints(60)
	g := &gossipFleet{random: rand.New(rand.NewPCG(1, 9)), now: clock.Boot(time.Hour)}
	for vm := range vms {
		g.tables = append(g.tables, newSeededTable(endpoints, vm))
	}
	request := uint64(0)
	sent := map[uint64]string{}
	for round := range rounds {
		for at := range uint64(chats) {
			request++
			number := uint64(round)*chats + at
			prompt := chatPrompt(number, request)
			table := g.tables[g.random.IntN(vms)]
			excluded := excludeNone
			if at%2 == 0 {
				first, _ := table.Pick(endpoints, Request{Prompt: prompt, Objective: testObjective}, excludeNone, g.now)
				excluded = func(id string) bool { return id == first.Endpoint.ID }
			}
			pick, _ := table.Pick(endpoints, Request{Prompt: prompt, Objective: testObjective}, excluded, g.now)
			table.Begin(pick, prompt, g.now).End()
			sent[number] = pick.Endpoint.ID
		}
		g.round()
	}
	for range soon {
		g.round()
	}
	misplaced := 0
	for number, endpoint := range sent {
		for _, table := range g.tables {
			pick, _ := table.Pick(endpoints, Request{Prompt: chatPrompt(number, 0), Objective: testObjective}, excludeNone, g.now)
			copied := pick.FetchFrom != nil && pick.FetchFrom.ID == endpoint
			if pick.Endpoint.ID != endpoint && !copied {
				misplaced++
			}
		}
	}
	if limit := vms * rounds * chats / 100; misplaced > limit {
		t.Errorf("%d of %d choices prefill a chat again, want at most %d", misplaced, vms*rounds*chats, limit)
	}
	for range soon {
		g.round()
	}
	if announced := g.round(); announced > 0 {
		t.Errorf("%d locations announced although nothing is new", announced)
	}
}

// TestUnknownChatIsCopiedFromItsFirstRank sends chats from a VM that has received no
// report, with their first-ranked endpoint excluded: they must be copied from there.
func TestUnknownChatIsCopiedFromItsFirstRank(t *testing.T) {
	endpoints := testEndpoints(60)
	now := clock.Boot(time.Hour)
	first, second := newTestTable(endpoints), newTestTable(endpoints)
	for number := range uint64(100) {
		pick, _ := first.Pick(endpoints, Request{Prompt: chatPrompt(number, number), Objective: testObjective}, excludeNone, now)
		first.Begin(pick, chatPrompt(number, number), now).End()
		tried := func(id string) bool { return id == pick.Endpoint.ID }
		elsewhere, _ := second.Pick(endpoints, Request{Prompt: chatPrompt(number, 1000+number), Objective: testObjective}, tried, now)
		if elsewhere.FetchFrom == nil || elsewhere.FetchFrom.ID != pick.Endpoint.ID {
			t.Errorf("chat %d is held by %s but copied from %v", number, pick.Endpoint.ID, elsewhere.FetchFrom)
		}
	}
}

// TestFewLocationsOfHotPartAreAnnounced sends one part to all engines and checks that only
// a few of its locations are announced to other VMs.
func TestFewLocationsOfHotPartAreAnnounced(t *testing.T) {
	endpoints := testEndpoints(60)
	table := newTestTable(endpoints)
	now := clock.Boot(time.Hour)
	prompt := &traffic.Prompt{Parts: []traffic.Part{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 100}}}
	for _, endpoint := range endpoints {
		table.Begin(Pick{Endpoint: endpoint}, prompt, now).End()
	}
	report := gossip.Report{}
	table.FillReport(&report, now)
	if len(report.PartLocations) == 0 || len(report.PartLocations) > maxAnnouncedLocations {
		t.Errorf("%d locations announced, want 1 to %d", len(report.PartLocations), maxAnnouncedLocations)
	}
	if locations := table.partIndex.locations(1); len(locations) < len(endpoints)/2 {
		t.Errorf("%d of %d locations remembered", len(locations), len(endpoints))
	}
}
