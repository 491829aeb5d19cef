package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

const testStart = clock.Boot(time.Hour)

// testFleet runs Tables that report to each other in virtual time, one report of each a
// round.
type testFleet struct {
	now       clock.Boot
	tables    []*Table
	sequences []int64
	down      []bool
	random    *rand.Rand
	// indexOf is the index of each VM by its address.
	indexOf map[string]int
	// lossRate is the fraction of datagrams that are lost.
	lossRate float64
}

func testAddress(i int) string {
	return fmt.Sprintf("10.%d.0.%d", i%3, i)
}

func newTestFleet(count int, seed uint64) *testFleet {
	f := &testFleet{now: testStart, sequences: make([]int64, count), down: make([]bool, count), random: rand.New(rand.NewPCG(seed, 1)), indexOf: map[string]int{}}
	for i := range count {
		f.indexOf[testAddress(i)] = i
		f.tables = append(f.tables, nil)
		f.restart(i)
	}
	return f
}

// restart starts the process of a VM anew. Its seeds are the first three VMs.
func (f *testFleet) restart(i int) {
	f.tables[i] = NewTable(testAddress(i), []string{testAddress(0), testAddress(1), testAddress(2)})
	f.sequences[i] = 0
	f.down[i] = false
}

// round advances time by reportPeriod and lets each running VM send one report.
func (f *testFleet) round() {
	f.now = f.now.Add(reportPeriod)
	for from, table := range f.tables {
		if f.down[from] {
			continue
		}
		f.sequences[from]++
		report := Report{
			Address: testAddress(from), Incarnation: int64(f.now) / int64(time.Hour), Sequence: f.sequences[from],
			FailureDomain: fmt.Sprint(from % 3), Capacity: 100, KnownVMs: table.KnownVMs(),
		}
		exchange := &Exchange{table: table, random: f.random}
		targets := exchange.selectTargets(&report, f.now)
		f.deliver(report, targets[:min(broadcastLimit, len(targets))])
	}
}

func (f *testFleet) deliver(report Report, targets []string) {
	for _, target := range targets {
		to := f.indexOf[target]
		if f.down[to] || f.random.Float64() < f.lossRate {
			continue
		}
		if f.tables[to].Receive(report, f.now) && f.tables[to].hasLargerView(report) {
			f.sendMembership(to, report.Address)
		}
	}
}

// sendMembership sends a membership reply.
func (f *testFleet) sendMembership(from int, address string) {
	reply := Report{Address: testAddress(from), MembershipOnly: true}
	reply.Heartbeats = f.tables[from].SampleHeartbeats(fmt.Sprint(from%3), membershipReplyHeartbeats, f.random, f.now)
	if f.random.Float64() >= f.lossRate {
		f.tables[f.indexOf[address]].Receive(reply, f.now)
	}
}

// TestEveryoneIsFoundFromOneSeed starts fleets whose VMs know three seeds, two of which
// never run. After 30 rounds each VM must see nearly all others as alive, although 5 % of
// the datagrams are lost.
func TestEveryoneIsFoundFromOneSeed(t *testing.T) {
	for _, count := range []int{7, 60, 100} {
		f := newTestFleet(count, uint64(count))
		f.lossRate = 0.05
		f.down[1], f.down[2] = true, true
		for range 30 {
			f.round()
		}
		missed, total := 0, 0
		for range 20 {
			f.round()
			for i, table := range f.tables {
				if f.down[i] {
					continue
				}
				total += count - 3
				missed += count - 3 - len(table.Alive(f.now))
			}
		}
		if missed*200 > total {
			t.Errorf("%d VMs: %d of %d lookups missed an alive VM", count, missed, total)
		}
	}
}

// TestLostVMsAreNoticed stops a third of a fleet: the other VMs must count it as lost
// after the alive timeout, although they keep relaying its last heartbeats.
func TestLostVMsAreNoticed(t *testing.T) {
	const count = 60
	f := newTestFleet(count, 3)
	for range 20 {
		f.round()
	}
	for i := 0; i < count; i += 3 {
		f.down[i] = true
	}
	for range int(baseAliveTimeout*count/baseTimeoutFleet/reportPeriod) + 3 {
		f.round()
	}
	for i, table := range f.tables {
		if alive := len(table.Alive(f.now)); !f.down[i] && alive > count*2/3-1 {
			t.Fatalf("VM %d counts %d others as alive", i, alive)
		}
	}
}

// TestOldReportsAreIgnored delivers duplicated and reordered reports.
func TestOldReportsAreIgnored(t *testing.T) {
	table := NewTable("a", nil)
	for _, test := range []struct {
		incarnation, number int64
		newer               bool
	}{{5, 2, true}, {5, 2, false}, {5, 1, false}, {4, 9, false}, {6, 1, true}, {5, 3, false}} {
		report := Report{Address: "b", Incarnation: test.incarnation, Sequence: test.number}
		if newer := table.Receive(report, testStart); newer != test.newer {
			t.Errorf("incarnation %d, sequence %d: newer is %v", test.incarnation, test.number, newer)
		}
	}
}

// TestClockSetBackBeforeARestart restarts a VM after its clock was set back. Its
// incarnation is lower than before, so its reports are ignored until the old incarnation
// has been silent for the alive timeout; relayed heartbeats of the old one must not
// replace it afterwards.
func TestClockSetBackBeforeARestart(t *testing.T) {
	table := NewTable("a", nil)
	now := testStart
	table.Receive(Report{Address: "b", Incarnation: 900, Sequence: 70}, now)
	if table.Receive(Report{Address: "b", Incarnation: 300, Sequence: 1}, now.Add(100*time.Millisecond)) {
		t.Error("a lower incarnation was accepted while the newer one is alive")
	}
	now = now.Add(baseAliveTimeout + time.Millisecond)
	if !table.Receive(Report{Address: "b", Incarnation: 300, Sequence: 9}, now) {
		t.Fatal("the report was ignored though the old incarnation is silent")
	}
	if alive := table.Alive(now); len(alive) != 1 || alive[0].Report.Incarnation != 300 {
		t.Errorf("alive are %+v", alive)
	}
	table.Receive(Report{Address: "c", Incarnation: 1, Sequence: 1, Heartbeats: []Heartbeat{{Address: "b", Incarnation: 900, AgeMS: 1400}}}, now.Add(time.Millisecond))
	if alive := table.Alive(now.Add(baseAliveTimeout)); len(alive) == 0 || alive[0].Report.Incarnation != 300 {
		t.Errorf("an old heartbeat replaced the new incarnation: %+v", alive)
	}
}

// TestLivingVMsAreNotLost bounds how often a VM of a large fleet takes an alive one for
// lost while one datagram in 100 is lost.
func TestLivingVMsAreNotLost(t *testing.T) {
	const rounds, maxLostPerVMSecond = 60, 0.02
	for _, count := range []int{60, 74} {
		f := newTestFleet(count, 5)
		f.lossRate = 0.01
		for range 40 {
			f.round()
		}
		lost := 0
		for range rounds {
			f.round()
			for _, table := range f.tables {
				lost += len(table.UpdateLiveness(f.now))
			}
		}
		if rate := float64(lost) / float64(count) / (rounds * reportPeriod.Seconds()); rate > maxLostPerVMSecond {
			t.Errorf("%d VMs: %.3f alive VMs are lost per VM and second, want at most %.3f", count, rate, maxLostPerVMSecond)
		}
	}
}

// TestOnlyFirstRankedVMSeesNoBetterRank starts 300 VMs at once that know only three seeds.
// After 1.5 s every VM must know one that ranks before it in its failure domain, except for
// the VM that ranks first: otherwise several VMs of a domain read the store.
func TestOnlyFirstRankedVMSeesNoBetterRank(t *testing.T) {
	const count = 300
	const rounds = startupReports + int((1500*time.Millisecond-startupReports*startupPeriod)/largeFleetPeriod)
	f := newTestFleet(count, 9)
	f.lossRate = 0.02
	firstByDomain := map[string]int{}
	rank := func(i int) Rank { return RankOf(testAddress(i), 100) }
	for i := range count {
		domain := fmt.Sprint(i % 3)
		if first, ok := firstByDomain[domain]; !ok || rank(i).Before(rank(first)) {
			firstByDomain[domain] = i
		}
	}
	for range rounds {
		f.round()
	}
	unaware := 0
	for i, table := range f.tables {
		domain := fmt.Sprint(i % 3)
		if i == firstByDomain[domain] {
			continue
		}
		if first := table.firstRanked(domain, f.now); first == nil || !first.Rank.Before(rank(i)) {
			unaware++
		}
	}
	if unaware > 0 {
		t.Errorf("%d of %d VMs know none that ranks before them", unaware, count)
	}
}
