package router

import (
	"fmt"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/router/config"
	"cardamompoint.example/cardamompoint/router/homes"
	"cardamompoint.example/cardamompoint/router/member"
	"cardamompoint.example/cardamompoint/router/placement"
	"cardamompoint.example/cardamompoint/router/settings"
	"cardamompoint.example/cardamompoint/router/source"
	"cardamompoint.example/cardamompoint/router/template"
)

const testGroup = "pool"

// testVMs returns routers and engines. The engines' addresses are numbered from
// first on.
func testVMs(routers, first, engines int) []source.VM {
	var vms []source.VM
	for i := range routers {
		vms = append(vms, source.VM{
			Address: fmt.Sprintf("10.1.%d.%d:7001", i/250, i%250),
			Role:    source.RoleRouter,
			State:   source.StateLive,
		})
	}
	for i := first; i < first+engines; i++ {
		vms = append(vms, source.VM{
			Address: fmt.Sprintf("10.2.%d.%d:8000", i/250, i%250),
			Role:    source.RoleEngine,
			Group:   testGroup,
			State:   source.StateLive,
		})
	}
	return vms
}

// testTable returns a table that has the list and has heard from all its routers.
func testTable(vms []source.VM) *member.Table {
	self := member.Identity{Address: vms[0].Address}
	table := member.NewTable(self, time.Hour)
	table.SetList(source.VMList{Version: 1, VMs: vms}, time.Now())
	for _, vm := range table.View().Routers {
		table.HandleHeartbeat(member.Heartbeat{From: member.Identity{Address: vm.Address}}, time.Now())
	}
	return table
}

// testSnapshot declares a model that at most the given number of engines have
// loaded.
func testSnapshot(most int) *config.Snapshot {
	return &config.Snapshot{Models: map[string]config.Model{"model": {Name: "model", Group: testGroup, Max: most}}}
}

func testRouter(members *member.Table) *Router {
	return &Router{
		settings:   &settings.Router{},
		members:    members,
		modelPools: placement.NewPools(),
		placer:     &placer{scaler: placement.NewScaler(1000)},
		setHistory: homes.NewHistory(time.Second, time.Second),
	}
}

func mustCandidates(t testing.TB, view *member.View, chat, hinted string) []candidate {
	t.Helper()
	return testRouter(nil).mustCandidates(t, testSnapshot(0), view, chat, hinted)
}

func (r *Router) mustCandidates(t testing.TB, snapshot *config.Snapshot, view *member.View, chat, hinted string) []candidate {
	t.Helper()
	ranked, err := r.candidatesOf(snapshot, view, chatKey("workspace", chat), "model", hinted)
	if err != nil {
		t.Fatal(err)
	}
	return ranked
}

// TestReplacedRoutersMoveNoChat checks that a change of routers does not change any
// chat's candidates.
func TestReplacedRoutersMoveNoChat(t *testing.T) {
	before := testTable(testVMs(8, 0, 20)).View()
	replaced := append(testVMs(30, 0, 0)[10:], testVMs(0, 0, 20)...)
	after := testTable(replaced).View()
	for i := range 2000 {
		chat := fmt.Sprint("chat-", i)
		old, now := mustCandidates(t, before, chat, ""), mustCandidates(t, after, chat, "")
		for at := range old {
			if old[at] != now[at] {
				t.Fatalf("%s: choice %d moved from %s to %s", chat, at, old[at].vm.Address, now[at].vm.Address)
			}
		}
	}
}

func TestHintedEngineIsAskedFirst(t *testing.T) {
	vms := testVMs(2, 0, 40)
	vms[10].State = source.StateLeaving
	vms[11].Group = "other"
	view := testTable(vms).View()
	plain := mustCandidates(t, view, "chat", "")
	last := plain[len(plain)-1].vm.Address
	cases := []struct {
		name, hinted, first string
		reason              string
	}{
		{"live", last, last, reasonHint},
		{"leaving", vms[10].Address, plain[0].vm.Address, reasonRanked},
		{"of another group", vms[11].Address, plain[0].vm.Address, reasonRanked},
		{"a router", vms[0].Address, plain[0].vm.Address, reasonRanked},
		{"unknown", "10.9.9.9:8000", plain[0].vm.Address, reasonRanked},
	}
	for _, c := range cases {
		ranked := mustCandidates(t, view, "chat", c.hinted)
		if ranked[0].vm.Address != c.first || ranked[0].reason != c.reason {
			t.Errorf("%s: first is %s, %s", c.name, ranked[0].vm.Address, ranked[0].reason)
		}
		seen := map[string]bool{}
		for _, candidate := range ranked {
			if seen[candidate.vm.Address] {
				t.Errorf("%s: %s comes twice", c.name, candidate.vm.Address)
			}
			seen[candidate.vm.Address] = true
		}
	}
}

func TestCandidatesShouldHaveTheModelLoaded(t *testing.T) {
	const engines, most, least = 300, 30, 5
	r := testRouter(testTable(testVMs(2, 0, engines)))
	view, snapshot := r.members.View(), testSnapshot(most)
	check := func(replicas int) {
		t.Helper()
		loaded := map[string]bool{}
		for _, index := range placement.Eligible(snapshot.Models["model"], view.Group(testGroup))[:replicas] {
			loaded[view.Group(testGroup)[index].Address] = true
		}
		for i := range 100 {
			ranked := r.mustCandidates(t, snapshot, view, fmt.Sprint("chat-", i), "")
			if len(ranked) != min(replicas, maxCandidates) {
				t.Fatalf("%d candidates for %d replicas", len(ranked), replicas)
			}
			for _, c := range ranked {
				if !loaded[c.vm.Address] {
					t.Fatalf("%s is a candidate and should not have the model", c.vm.Address)
				}
			}
		}
	}
	check(most)
	declared := snapshot.Models["model"]
	declared.Min = least
	snapshot.Models["model"] = declared
	r.placer.scaler.Replicas(declared, engines, 0, time.Now())
	check(least)
}

func TestTemplatePinsAndWeighsModels(t *testing.T) {
	rules := &template.Rules{Workspace: "workspace", Completion: template.Completion{Models: []template.ModelChoice{
		{Model: "large", Weight: 1}, {Model: "small", Weight: 3}, {Model: "pinned", Weight: 0},
	}}}
	counts := map[string]int{}
	for i := range 4000 {
		choice, err := chooseModel(rules, fmt.Sprint("chat-", i), "")
		if err != nil {
			t.Fatal(err)
		}
		counts[choice.Model]++
	}
	// The bounds are six standard deviations (164) around the mean of 3000.
	if counts["pinned"] != 0 || counts["small"] < 2836 || counts["small"] > 3164 {
		t.Errorf("the models got %v", counts)
	}
	if choice, err := chooseModel(rules, "chat", "pinned"); err != nil || choice.Model != "pinned" {
		t.Errorf("asked for by name: %v, %v", choice, err)
	}
}

// decisionRouter returns a router of a fleet of 340 routers.
func decisionRouter(engines int) *Router {
	return testRouter(testTable(testVMs(340, 0, engines)))
}

var decisionSnapshot = testSnapshot(0)

// routeChat makes one routing decision.
func (r *Router) routeChat(t testing.TB, chat string) {
	view := r.members.View()
	ranked := r.mustCandidates(t, decisionSnapshot, view, chat, "")
	r.homeOf(view, ranked[0].vm.Address)
}

func TestDecisionAllocations(t *testing.T) {
	r := decisionRouter(12000)
	// The only allocation is the list of candidates.
	const bound = 1
	if allocations := testing.AllocsPerRun(20, func() { r.routeChat(t, "chat") }); allocations > bound {
		t.Errorf("%v allocations, the bound is %d", allocations, bound)
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{20, 1000, 12000} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			r := decisionRouter(engines)
			b.ReportAllocs()
			for b.Loop() {
				r.routeChat(b, "chat")
			}
		})
	}
}
