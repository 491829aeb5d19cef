package member

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/balance"
	"cardamompoint.example/cardamompoint/router/source"
)

const testSuspectTimeout = 3 * time.Second

func routerList(version int64, count int) source.VMList {
	list := source.VMList{Version: version}
	for i := range count {
		list.VMs = append(list.VMs, source.VM{Address: fmt.Sprint("r", i), Role: source.RoleRouter, State: source.StateLive})
	}
	return list
}

// newFleet returns the tables of count routers that all have the same list.
func newFleet(count int, now time.Time) []*Table {
	fleet := make([]*Table, count)
	for i := range fleet {
		fleet[i] = NewTable(Identity{Address: fmt.Sprint("r", i), Incarnation: fmt.Sprint("i", i)}, testSuspectTimeout)
		fleet[i].SetList(routerList(1, count), now)
	}
	return fleet
}

// exchangeHeartbeats performs one heartbeat exchange that a initiates. With lost,
// b's answer does not reach a.
func exchangeHeartbeats(a, b *Table, now time.Time, lost bool) {
	var request, answer Heartbeat
	a.Fill(&request, b.self.Address)
	b.HandleHeartbeat(request, now)
	b.Fill(&answer, a.self.Address)
	b.AverageMeans(answer.Means, request.Means)
	if lost {
		return
	}
	a.HandleHeartbeat(answer, now)
	a.HeartbeatAcked(request, b.self.Address)
	a.AverageMeans(request.Means, answer.Means)
}

// TestSuspicionIsRefuted suspects a live router. It hears of the suspicion in its
// next exchange, and the higher counter with which it refutes must end the
// suspicion at a third router as well.
func TestSuspicionIsRefuted(t *testing.T) {
	now := time.Unix(1000, 0)
	fleet := newFleet(20, now)
	fleet[0].ProbeFailed("r1", now)
	exchangeHeartbeats(fleet[0], fleet[2], now, false)
	later := now.Add(testSuspectTimeout + time.Second)
	for _, i := range []int{0, 2} {
		if got := fleet[i].Health("r1", now); got != HealthAlive {
			t.Fatalf("a suspected router is %s at r%d before the timeout", got, i)
		}
		if got := fleet[i].Health("r1", later); got != HealthUnreachable {
			t.Fatalf("the router is %s at r%d after the timeout", got, i)
		}
	}
	exchangeHeartbeats(fleet[0], fleet[1], later, false)
	exchangeHeartbeats(fleet[1], fleet[3], later, false)
	exchangeHeartbeats(fleet[3], fleet[2], later, false)
	for _, i := range []int{0, 2} {
		if got := fleet[i].Health("r1", later); got != HealthAlive {
			t.Fatalf("the router is %s at r%d after its refutation", got, i)
		}
	}
	if fleet[2].ApplyUpdates([]Update{{Address: "r1", Counter: 1, Claim: ClaimSuspect}}, later) {
		t.Fatal("an outdated suspicion was accepted")
	}
}

// TestUnreachableStaysMember checks that an unreachable router stays a member until
// the list drops it.
func TestUnreachableStaysMember(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newFleet(3, now)[0]
	table.ProbeFailed("r1", now)
	hour := now.Add(time.Hour)
	if table.Health("r1", hour) != HealthUnreachable || len(table.View().Routers) != 3 {
		t.Fatalf("the router is %s among %d", table.Health("r1", hour), len(table.View().Routers))
	}
	table.SetList(source.VMList{Version: 2, After: 1, Removed: []string{"r1"}}, hour)
	if len(table.Peers(hour)) != 1 || len(table.View().Routers) != 2 {
		t.Fatalf("there are still %d peers", len(table.Peers(hour)))
	}
}

// TestFlappingIsHeldBack checks that a flapping router is held down from its second
// return on, for twice as long each time, up to the bound.
func TestFlappingIsHeldBack(t *testing.T) {
	now := time.Unix(1000, 0)
	fleet := newFleet(3, now)
	want := []time.Duration{0, 2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second, 32 * time.Second, time.Minute, time.Minute}
	for i, hold := range want {
		fleet[0].ProbeFailed("r1", now)
		now = now.Add(testSuspectTimeout + time.Second)
		exchangeHeartbeats(fleet[0], fleet[1], now, false)
		if hold > 0 && fleet[0].Health("r1", now.Add(hold-time.Millisecond)) != HealthUnreachable {
			t.Fatalf("return %d is held down for less than %v", i+1, hold)
		}
		if fleet[0].Health("r1", now.Add(hold)) != HealthAlive {
			t.Fatalf("return %d is held down for more than %v", i+1, hold)
		}
	}
}

// TestSumIsExactInSmallFleets checks that the peer load is exact after one exchange
// of each pair.
func TestSumIsExactInSmallFleets(t *testing.T) {
	now := time.Unix(1000, 0)
	fleet := newFleet(8, now)
	for i, table := range fleet {
		table.BeginPeriod(map[string]balance.ModelLoad{"m": {Tokens: 10 << i, Requests: i}})
	}
	for i, table := range fleet {
		for _, peer := range fleet[i+1:] {
			exchangeHeartbeats(table, peer, now, false)
		}
	}
	for i, table := range fleet {
		sum := table.PeerLoad("m", now)
		if sum.Tokens != 10*255-10<<i || sum.Requests != 28-i {
			t.Fatalf("the sum at r%d is %+v", i, sum)
		}
	}
}

// TestMeanFollowsLoad checks the estimated sum of 340 routers whose loads differ by
// up to their full size and keep changing, while one answer in a hundred is lost.
func TestMeanFollowsLoad(t *testing.T) {
	const (
		routers = 340
		rounds  = 60
		settled = 20
		bound   = 0.15 // RMS error over the routers, as a fraction of the sum
	)
	now := time.Unix(1000, 0)
	worst := 0.0
	for seed := range uint64(3) {
		random := rand.New(rand.NewPCG(seed, 3))
		fleet := newFleet(routers, now)
		loads := make([]int, routers)
		for i := range loads {
			loads[i] = random.IntN(2000)
		}
		for round := range rounds {
			total := 0
			for i, table := range fleet {
				loads[i] = max(0, loads[i]+random.IntN(201)-100)
				total += loads[i]
				table.BeginPeriod(map[string]balance.ModelLoad{"m": {Tokens: loads[i]}})
			}
			for i, table := range fleet {
				peer := fleet[(i+1+random.IntN(routers-1))%routers]
				exchangeHeartbeats(table, peer, now, random.IntN(100) == 0)
			}
			if round < settled {
				continue
			}
			square := 0.0
			for i, table := range fleet {
				off := float64(table.PeerLoad("m", now).Tokens+loads[i]-total) / float64(total)
				square += off * off
			}
			worst = max(worst, math.Sqrt(square/routers))
		}
	}
	t.Logf("the sum is off by %.1f%% at the worst round", 100*worst)
	if worst > bound {
		t.Errorf("the sum is off by %.1f%%, want %.1f%% at the most", 100*worst, 100*bound)
	}
}

// TestUpdatesAreBounded checks the size of a heartbeat when all routers are
// suspected at once.
func TestUpdatesAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	fleet := newFleet(340, now)
	for i := 1; i < len(fleet); i++ {
		fleet[0].ProbeFailed(fmt.Sprint("r", i), now)
	}
	var beat Heartbeat
	fleet[0].Fill(&beat, "r9")
	if len(beat.Updates) > maxUpdates+1 {
		t.Fatalf("a heartbeat has %d updates", len(beat.Updates))
	}
}

// TestSleepMakesViewStale checks the detection of a frozen process (both clocks
// jump) and of a suspended VM (only the wall clock jumps).
func TestSleepMakesViewStale(t *testing.T) {
	start := time.Now()
	guard := NewSleepGuard(2*time.Second, 2*time.Second)
	guard.Tick(start)
	awake := start.Add(time.Second)
	guard.Tick(awake)
	if err := guard.Check(awake.Add(time.Second)); err != nil {
		t.Fatalf("the view is stale without a suspension: %v", err)
	}
	woken := awake.Add(time.Hour)
	if err := guard.Check(woken); !code.Is(err, code.ViewStale) {
		t.Fatalf("the view is fresh after a suspension: %v", err)
	}
	guard.Refreshed(awake)
	if guard.Check(woken) == nil {
		t.Fatal("an exchange that started before the suspension refreshed the view")
	}
	guard.Refreshed(woken.Add(time.Millisecond))
	if err := guard.Check(woken.Add(time.Second)); err != nil {
		t.Fatalf("the view is stale after the refresh: %v", err)
	}
	// A suspended VM: only the wall clock has moved.
	suspended := NewSleepGuard(2*time.Second, 2*time.Second)
	suspended.Tick(start.Round(0))
	if suspended.Check(start.Round(0).Add(time.Hour)) == nil {
		t.Fatal("the view of a suspended VM is fresh")
	}
	suspended.Tick(start.Round(0).Add(time.Hour + time.Second))
	if err := suspended.Check(start.Round(0).Add(time.Hour + 2100*time.Millisecond)); err != nil {
		t.Fatalf("the view of an isolated router is still stale after the limit: %v", err)
	}
}

// BenchmarkPeriod measures the work of one period: its probes and one exchange.
func BenchmarkPeriod(b *testing.B) {
	for _, count := range []int{8, 80, 340} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			now := time.Unix(1000, 0)
			fleet := newFleet(count, now)
			loads := map[string]balance.ModelLoad{}
			for n := range 12 {
				loads[fmt.Sprint("model-", n)] = balance.ModelLoad{Tokens: 1000, Requests: 3}
			}
			b.ReportAllocs()
			for b.Loop() {
				fleet[0].BeginPeriod(loads)
				fleet[0].Probes(now, time.Second)
				exchangeHeartbeats(fleet[0], fleet[1], now, false)
			}
		})
	}
}

// BenchmarkList measures the application of one change to the list of VMs.
func BenchmarkList(b *testing.B) {
	for _, count := range []int{1000, 4000, 12340} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			table := NewTable(Identity{Address: "r0"}, testSuspectTimeout)
			list := routerList(1, 340)
			for i := range count - 340 {
				list.VMs = append(list.VMs, source.VM{Address: fmt.Sprint("e", i), Role: source.RoleEngine, Group: "g", State: source.StateLive})
			}
			table.SetList(list, time.Now())
			version := int64(1)
			b.ReportAllocs()
			for b.Loop() {
				version++
				table.SetList(source.VMList{Version: version, After: version - 1, VMs: list.VMs[count-1:]}, time.Now())
			}
		})
	}
}
