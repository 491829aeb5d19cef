package choice

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/news"
	"cardamompoint.example/cardamompoint/traffic"
)

// gossip lets VMs of a large fleet send their reports in rounds.
type gossip struct {
	tables []*Table
	random *rand.Rand
	now    clock.Boot
}

const (
	gossipTargets = 7
	gossipPeriod  = 200 * time.Millisecond
)

// round lets each VM report to some others and returns how many places were told.
func (g *gossip) round() (told int) {
	for from, table := range g.tables {
		report := news.Report{Address: fmt.Sprint("vm-", from), Pulses: []news.Pulse{{}}}
		table.Fill(&report, g.now)
		told += len(report.Parts)
		for _, to := range g.random.Perm(len(g.tables))[:gossipTargets] {
			if to != from {
				g.tables[to].Receive(report, g.now)
			}
		}
	}
	g.now = g.now.Add(gossipPeriod)
	return told
}

// TestNewsOfPlacesReachAllAndEnd serves many chats with a common root on many
// engines from many VMs. The place of each chat is known everywhere soon, and
// when no more requests come nothing is told any more.
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
			pick, _ := table.Pick(endpoints, prompt, testObjective, none, g.now)
			table.Begin(pick, prompt, g.now).End()
			sent[number] = pick.Endpoint.ID
		}
		g.round()
	}
	for range soon {
		g.round()
	}
	unknown := 0
	for number, endpoint := range sent {
		for _, table := range g.tables {
			if !table.knows(1000+number, endpoint) {
				unknown++
			}
		}
	}
	if limit := vms * rounds * chats / 100; unknown > limit {
		t.Errorf("%d of %d places are unknown, want at most %d", unknown, vms*rounds*chats, limit)
	}
	for range soon {
		g.round()
	}
	if told := g.round(); told > 0 {
		t.Errorf("%d places are told though nothing is new", told)
	}
}

// knows reports whether the part is known to be at the endpoint.
func (t *Table) knows(part uint64, endpoint string) bool {
	for _, at := range t.parts.of(part) {
		if at.endpoint == endpoint {
			return true
		}
	}
	return false
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
	table.Fill(&report, now)
	if len(report.Parts) == 0 || len(report.Parts) > toldHolders {
		t.Errorf("%d places are told, want 1 to %d", len(report.Parts), toldHolders)
	}
	if places := table.parts.of(1); len(places) < len(endpoints)/2 {
		t.Errorf("%d places are remembered of %d", len(places), len(endpoints))
	}
}
