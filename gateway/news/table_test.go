package news

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

const testStart = clock.Boot(time.Hour)

// testFleet is a number of tables that report to each other in virtual time.
type testFleet struct {
	now     clock.Boot
	tables  []*Table
	numbers []int64
	down    []bool
	random  *rand.Rand
	// numberOf is the number of each VM by its address.
	numberOf map[string]int
	// loss is the part of reports that are lost.
	loss float64
}

func testAddress(i int) string {
	return fmt.Sprintf("10.%d.0.%d", i%3, i)
}

func newTestFleet(count int, seed uint64) *testFleet {
	f := &testFleet{now: testStart, numbers: make([]int64, count), down: make([]bool, count), random: rand.New(rand.NewPCG(seed, 1)), numberOf: map[string]int{}}
	for i := range count {
		f.numberOf[testAddress(i)] = i
		f.tables = append(f.tables, nil)
		f.restart(i)
	}
	return f
}

// restart starts a process anew; it knows the first three VMs as seeds.
func (f *testFleet) restart(i int) {
	f.tables[i] = NewTable(testAddress(i), []string{testAddress(0), testAddress(1), testAddress(2)})
	f.numbers[i] = 0
	f.down[i] = false
}

// round lets each VM report once.
func (f *testFleet) round() {
	f.now = f.now.Add(period)
	for from, table := range f.tables {
		if f.down[from] {
			continue
		}
		f.numbers[from]++
		report := Report{
			Address: testAddress(from), Incarnation: int64(f.now) / int64(time.Hour), Sequence: f.numbers[from],
			FailureDomain: fmt.Sprint(from % 3), Capacity: 100, KnownVMs: table.KnownVMs(),
		}
		exchange := &Exchange{table: table, random: f.random}
		targets := exchange.addressees(&report, f.now)
		f.deliver(report, targets[:min(sendAll, len(targets))])
	}
}

func (f *testFleet) deliver(report Report, targets []string) {
	for _, target := range targets {
		to := f.numberOf[target]
		if f.down[to] || f.random.Float64() < f.loss {
			continue
		}
		if f.tables[to].Receive(report, f.now) && f.tables[to].knowsMore(report) {
			f.greet(to, report.Address)
		}
	}
}

// greet answers a first report.
func (f *testFleet) greet(from int, address string) {
	greeting := Report{Address: testAddress(from), MembershipOnly: true}
	greeting.Heartbeats = f.tables[from].SampleHeartbeats(fmt.Sprint(from%3), greetingPulses, f.random, f.now)
	if f.random.Float64() >= f.loss {
		f.tables[f.numberOf[address]].Receive(greeting, f.now)
	}
}

// TestEveryoneIsFoundFromOneSeed starts fleets whose VMs know three seeds, two of
// which never run; after some rounds each VM counts all others as alive, and goes
// on doing so although datagrams are lost.
func TestEveryoneIsFoundFromOneSeed(t *testing.T) {
	for _, count := range []int{7, 60, 100} {
		f := newTestFleet(count, uint64(count))
		f.loss = 0.05
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
			t.Errorf("%d VMs: %d of %d looks missed a living VM", count, missed, total)
		}
	}
}

// TestLostVMsAreNoticed stops a third of a fleet: the others count it as lost
// soon, though all relay when they last heard of it.
func TestLostVMsAreNoticed(t *testing.T) {
	const count = 60
	f := newTestFleet(count, 3)
	for range 20 {
		f.round()
	}
	for i := 0; i < count; i += 3 {
		f.down[i] = true
	}
	for range int(aliveFor*count/steadyFleet/period) + 3 {
		f.round()
	}
	for i, table := range f.tables {
		if alive := len(table.Alive(f.now)); !f.down[i] && alive > count*2/3-1 {
			t.Fatalf("VM %d counts %d others as alive", i, alive)
		}
	}
}

// TestOldReportsAreLeftOut delivers reports twice and out of order.
func TestOldReportsAreLeftOut(t *testing.T) {
	table := NewTable("a", nil)
	for _, test := range []struct {
		incarnation, number int64
		newer               bool
	}{{5, 2, true}, {5, 2, false}, {5, 1, false}, {4, 9, false}, {6, 1, true}, {5, 3, false}} {
		report := Report{Address: "b", Incarnation: test.incarnation, Sequence: test.number}
		if newer := table.Receive(report, testStart); newer != test.newer {
			t.Errorf("incarnation %d, number %d: newer is %v", test.incarnation, test.number, newer)
		}
	}
}

// TestClockSetBackBeforeARestart starts a VM anew after its clock was set back: its
// incarnation is lower than before, and it is heard again once the old one has
// fallen silent.
func TestClockSetBackBeforeARestart(t *testing.T) {
	table := NewTable("a", nil)
	now := testStart
	table.Receive(Report{Address: "b", Incarnation: 900, Sequence: 70}, now)
	if table.Receive(Report{Address: "b", Incarnation: 300, Sequence: 1}, now.Add(100*time.Millisecond)) {
		t.Error("an older incarnation was taken while the newer one is alive")
	}
	now = now.Add(aliveFor + time.Millisecond)
	if !table.Receive(Report{Address: "b", Incarnation: 300, Sequence: 9}, now) {
		t.Fatal("the VM is not heard though its old incarnation is silent")
	}
	if alive := table.Alive(now); len(alive) != 1 || alive[0].Report.Incarnation != 300 {
		t.Errorf("alive are %+v", alive)
	}
	table.Receive(Report{Address: "c", Incarnation: 1, Sequence: 1, Heartbeats: []Heartbeat{{Address: "b", Incarnation: 900, AgeMS: 1400}}}, now.Add(time.Millisecond))
	if alive := table.Alive(now.Add(aliveFor)); len(alive) == 0 || alive[0].Report.Incarnation != 300 {
		t.Errorf("an old pulse replaced the VM: %+v", alive)
	}
}

// TestLivingVMsAreNotLost counts how often a VM of a large fleet takes a living one
// for lost, with one report in 100 lost.
func TestLivingVMsAreNotLost(t *testing.T) {
	const rounds, perVMAndSecond = 60, 0.02
	for _, count := range []int{60, 74} {
		f := newTestFleet(count, 5)
		f.loss = 0.01
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
		if rate := float64(lost) / float64(count) / (rounds * period.Seconds()); rate > perVMAndSecond {
			t.Errorf("%d VMs: %.3f living VMs are lost a VM and second, want at most %.3f", count, rate, perVMAndSecond)
		}
	}
}

// TestFewTakeThemselvesForFirst starts 300 VMs at once that know three seeds: after the
// rounds of 1.5 s only the VM that ranks first for duties in its failure domain knows none
// that goes before it.
func TestFewTakeThemselvesForFirst(t *testing.T) {
	const count = 300
	const rounds = startReports + int((1500*time.Millisecond-startReports*startPeriod)/largePeriod)
	f := newTestFleet(count, 9)
	f.loss = 0.02
	best := map[string]int{}
	rank := func(i int) Rank { return RankOf(testAddress(i), 100) }
	for i := range count {
		domain := fmt.Sprint(i % 3)
		if first, ok := best[domain]; !ok || rank(i).Before(rank(first)) {
			best[domain] = i
		}
	}
	for range rounds {
		f.round()
	}
	unaware := 0
	for i, table := range f.tables {
		domain := fmt.Sprint(i % 3)
		if i == best[domain] {
			continue
		}
		if first := table.firstOf(domain, f.now); first == nil || !first.Rank.Before(rank(i)) {
			unaware++
		}
	}
	if unaware > 0 {
		t.Errorf("%d of %d VMs take themselves for first", unaware, count)
	}
}
