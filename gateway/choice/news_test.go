package choice

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/news"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// gossip lets VMs of a large fleet send their reports in rounds.
type gossip struct {
	tables []*Table
	random *rand.Rand
	now    clock.Boot
}

const (
	gossipTargets = 4
	gossipPeriod  = 200 * time.Millisecond
)

// round lets each VM report to some others and returns how many places were told.
func (g *gossip) round() (told int) {
	for from, table := range g.tables {
		report := news.Report{Address: fmt.Sprint("vm-", from), Heartbeats: []news.Heartbeat{{}}}
		table.FillReport(&report, g.now)
		told += len(report.PartLocations)
		for _, to := range g.random.Perm(len(g.tables))[:gossipTargets] {
			if to != from {
				g.tables[to].ApplyReport(report, g.now)
			}
		}
	}
	g.now = g.now.Add(gossipPeriod)
	return told
}

// TestNewsOfPlacesReachAllAndEnd serves many chats with a common root on many
// engines from many VMs, some of them not where they rank first. Soon each VM
// sends a chat where it is, or copies from there, and when no more requests come
// nothing is told any more.
func TestNewsOfPlacesReachAllAndEnd(t *testing.T) {
	const vms, chats, rounds, soon = 60, 8, 12, 5
	endpoints := testEndpoints(60)
	g := &gossip{random: rand.New(rand.NewPCG(1, 9)), now: clock.Boot(time.Hour)}
	for range vms {
		g.tables = append(g.tables, newTestTable(endpoints))
	}
	request := uint64(0)
	sent := map[uint64]string{}
	for round := range rounds {
		for at := range uint64(chats) {
			request++
			number := uint64(round)*chats + at
			prompt := chat(number, request)
			table := g.tables[g.random.IntN(vms)]
			excluded := none
			if at%2 == 0 {
				first, _ := table.Pick(endpoints, prompt, testObjective, none, g.now)
				excluded = func(id string) bool { return id == first.Endpoint.ID }
			}
			pick, _ := table.Pick(endpoints, prompt, testObjective, excluded, g.now)
			table.Begin(pick, prompt, g.now).End()
			sent[number] = pick.Endpoint.ID
		}
		g.round()
	}
	for range soon {
		g.round()
	}
	strayed := 0
	for number, endpoint := range sent {
		for _, table := range g.tables {
			pick, _ := table.Pick(endpoints, chat(number, 0), testObjective, none, g.now)
			copied := pick.FetchFrom != nil && pick.FetchFrom.ID == endpoint
			if pick.Endpoint.ID != endpoint && !copied {
				strayed++
			}
		}
	}
	if limit := vms * rounds * chats / 100; strayed > limit {
		t.Errorf("%d of %d choices read a chat again, want at most %d", strayed, vms*rounds*chats, limit)
	}
	for range soon {
		g.round()
	}
	if told := g.round(); told > 0 {
		t.Errorf("%d places are told though nothing is new", told)
	}
}

// TestUnknownChatIsCopiedFromItsFirstRank lets a VM that was told nothing send
// chats away from where they rank first: they are copied from there.
func TestUnknownChatIsCopiedFromItsFirstRank(t *testing.T) {
	endpoints := testEndpoints(60)
	now := clock.Boot(time.Hour)
	knowing, other := newTestTable(endpoints), newTestTable(endpoints)
	for number := range uint64(100) {
		pick, _ := knowing.Pick(endpoints, chat(number, number), testObjective, none, now)
		knowing.Begin(pick, chat(number, number), now).End()
		tried := func(id string) bool { return id == pick.Endpoint.ID }
		elsewhere, _ := other.Pick(endpoints, chat(number, 1000+number), testObjective, tried, now)
		if elsewhere.FetchFrom == nil || elsewhere.FetchFrom.ID != pick.Endpoint.ID {
			t.Errorf("chat %d at %s is copied from %v", number, pick.Endpoint.ID, elsewhere.FetchFrom)
		}
	}
}

// TestHotPartIsToldOfAFewTimes sends one part to all engines; other VMs are told
// of some of its places only.
func TestHotPartIsToldOfAFewTimes(t *testing.T) {
	endpoints := testEndpoints(60)
	table := newTestTable(endpoints)
	now := clock.Boot(time.Hour)
	prompt := &traffic.Prompt{Parts: []traffic.Part{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 100}}}
	for _, endpoint := range endpoints {
		table.Begin(Pick{Endpoint: endpoint}, prompt, now).End()
	}
	report := news.Report{}
	table.FillReport(&report, now)
	if len(report.PartLocations) == 0 || len(report.PartLocations) > toldHolders {
		t.Errorf("%d places are told, want 1 to %d", len(report.PartLocations), toldHolders)
	}
	if places := table.parts.of(1); len(places) < len(endpoints)/2 {
		t.Errorf("%d places are remembered of %d", len(places), len(endpoints))
	}
}
