package choice

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/reportnet"
)

// picksChecksum plays a seeded sequence of choices with failures and slow endpoints, and returns a checksum
// of the picks and their delays. state is called before each choice.
func picksChecksum(state func(table *Table, endpoint *traffic.Endpoint, now clock.Boot)) string {
	endpoints := testEndpoints(30)
	table, now, sum := newTestTable(endpoints), clock.Boot(time.Hour), fnv.New64a()
	for request := range uint64(1500) {
		now = now.Add(7 * time.Millisecond)
		prompt := []*traffic.Prompt{{}, shortPrompt(request%90, request), chatPrompt(request%50, request)}[request%3]
		state(table, endpoints[request%30], now)
		pick, _ := table.Pick(endpoints, Request{Prompt: prompt, Objective: testObjective, Once: request%5 == 0}, excludeNone, now)
		fmt.Fprint(sum, pick.Endpoint.ID, pick.Reason, pick.DelayMS, pick.PrefillTokens)
		slow := time.Duration(1)
		if pick.Endpoint == endpoints[3] || pick.Endpoint == endpoints[11] {
			slow = 5
		}
		work := table.Begin(pick, prompt, now.Add(-slow*time.Duration(20+pick.BacklogTokens/70)*time.Millisecond))
		work.RecordDelay(now)
		table.RecordOutcome(pick.Endpoint.ID, request%41 == 0, now)
		if request%4 > 0 {
			work.End()
		}
	}
	return fmt.Sprintf("%x", sum.Sum64())
}

// TestChoicesWithoutContentionAreUnchanged guards against choices that differ although no host is contended: none
// states anything, all state the usual time or an impossibly short one, or one stated a contention long ago. The
// checksum is that of the picks before contention counted; a change of other costs changes it too.
func TestChoicesWithoutContentionAreUnchanged(t *testing.T) {
	const want = "c062665854eea554"
	states := func(stated float64) func(*Table, *traffic.Endpoint, clock.Boot) {
		return func(table *Table, endpoint *traffic.Endpoint, now clock.Boot) {
			table.RecordContention(endpoint, stated, now)
		}
	}
	for name, state := range map[string]func(*Table, *traffic.Endpoint, clock.Boot){
		"none": states(0), "usual": states(1), "short": states(0.1), "all alike": states(1.7),
		"long ago": func(table *Table, endpoint *traffic.Endpoint, now clock.Boot) {
			table.RecordContention(endpoint, 2.5, now.Add(-2*time.Second))
		},
	} {
		if got := picksChecksum(state); got != want && name != "all alike" {
			t.Errorf("%s: the checksum of the picks is %s, want %s", name, got, want)
		}
	}
}

// contendedFleet plays VMs that send requests to engines, 15 in 100 of whose hosts are contended at any moment.
type contendedFleet struct {
	now       clock.Boot
	random    *rand.Rand
	network   *reportnet.Network
	tables    []*Table
	reports   []clock.Boot
	endpoints []*traffic.Endpoint
	// silent reports whether engines state nothing.
	silent bool
	// until are the ends of the periods of contention, loads the requests in progress.
	until map[string]clock.Boot
	loads map[string]int
	due   []contendedEvent
	total int
	// homes are the engines that served each long chat last.
	homes map[uint64]string
	// short are the short requests, contended those of them that reached contended hosts. long are the long chats whose
	// engine was contended, moved those of them that were sent elsewhere. over are the requests above the load rule.
	short, contended, long, moved, sent, over int
}

// contendedEvent is something that happens at a time.
type contendedEvent struct {
	at   clock.Boot
	what func()
}

const (
	contendedFactor = 2.5
	contendedShare  = 0.15
	contendedPeriod = 600 * time.Millisecond
	fleetStep       = time.Millisecond
)

func newContendedFleet(vms int, silent bool, seed uint64) *contendedFleet {
	f := &contendedFleet{
		now: clock.Boot(time.Hour), random: rand.New(rand.NewPCG(seed, 11)), endpoints: testEndpoints(140), silent: silent,
		until: map[string]clock.Boot{}, loads: map[string]int{}, homes: map[uint64]string{},
	}
	f.network = &reportnet.Network{VMs: vms, Loss: 0.02, Random: f.random}
	for vm := range vms {
		table := newSeededTable(f.endpoints, vm)
		table.domain = fmt.Sprintf("d%d", vm%3)
		f.tables = append(f.tables, table)
		f.reports = append(f.reports, f.now.Add(time.Duration(f.random.Int64N(int64(f.network.Period())))))
	}
	return f
}

// run plays requests; only those of the second half count.
func (f *contendedFleet) run(duration time.Duration) {
	began := f.now
	for f.now.Sub(began) < duration {
		f.now = f.now.Add(fleetStep)
		f.contend()
		f.due = slices.DeleteFunc(f.due, func(event contendedEvent) bool {
			if event.at <= f.now {
				event.what()
			}
			return event.at <= f.now
		})
		f.network.Deliver(f.now, func(to int, report gossip.Report) { f.tables[to].ApplyReport(report, f.now) })
		f.report()
		if f.random.Float64() < 0.84 {
			f.send(f.now.Sub(began) > duration/2)
		}
	}
}

// contend begins periods of contention, so that the given share of the hosts has one.
func (f *contendedFleet) contend() {
	begins := contendedShare / (1 - contendedShare) * float64(fleetStep) / float64(contendedPeriod)
	for _, endpoint := range f.endpoints {
		if f.now >= f.until[endpoint.ID] && f.random.Float64() < begins {
			f.until[endpoint.ID] = f.now.Add(contendedPeriod/2 + time.Duration(f.random.Int64N(int64(contendedPeriod))))
		}
	}
}

// factor returns how long work takes on an engine's host now.
func (f *contendedFleet) factor(id string) float64 {
	if f.now < f.until[id] {
		return contendedFactor
	}
	return 1
}

// report sends the reports that are due.
func (f *contendedFleet) report() {
	for vm, at := range f.reports {
		if at > f.now {
			continue
		}
		report := gossip.Report{Address: fmt.Sprint("vm-", vm)}
		if f.network.Large() {
			report.Heartbeats = []gossip.Heartbeat{{}}
		}
		f.tables[vm].FillReport(&report, f.now)
		f.network.Send(vm, report, f.now)
		f.reports[vm] = at.Add(f.network.Period())
	}
}

// send sends a request from a random VM: one in four is of a long chat, the others are short.
func (f *contendedFleet) send(counts bool) {
	table, isLong, chat := f.tables[f.random.IntN(len(f.tables))], f.random.IntN(4) == 0, f.random.Uint64N(300)
	prompt := shortPrompt(f.random.Uint64N(40), f.random.Uint64())
	if isLong {
		prompt = chatPrompt(chat, f.random.Uint64())
	}
	pick, _ := table.Pick(f.endpoints, Request{Prompt: prompt, Objective: 400 * time.Millisecond}, excludeNone, f.now)
	id := pick.Endpoint.ID
	if counts {
		f.count(isLong, id, f.homes[chat])
	}
	if isLong {
		f.homes[chat] = id
	}
	work, factor := table.Begin(pick, prompt, f.now), f.factor(id)
	f.loads[id]++
	f.total++
	begins := time.Duration(factor * float64(20*time.Millisecond+time.Duration(pick.PrefillTokens)*time.Millisecond/66))
	f.after(begins, func() {
		work.PrefillDone()
		work.RecordDelay(f.now)
		table.RecordLoad(id, traffic.Load{Running: f.loads[id], Slots: 12}, f.now)
		if !f.silent {
			table.RecordContention(pick.Endpoint, f.factor(id), f.now)
		}
	})
	f.after(begins+time.Duration(100+f.random.ExpFloat64()*300)*time.Millisecond, func() {
		f.loads[id]--
		f.total--
		work.End()
		table.RecordOutcome(id, false, f.now)
	})
}

func (f *contendedFleet) after(wait time.Duration, what func()) {
	f.due = append(f.due, contendedEvent{f.now.Add(wait), what})
}

// count counts a request that is sent to an engine. home served its chat before.
func (f *contendedFleet) count(isLong bool, id, home string) {
	f.sent++
	if mean := float64(f.total) / float64(len(f.endpoints)); float64(f.loads[id]) > 2*mean+3 {
		f.over++
	}
	switch {
	case isLong && home != "" && f.factor(home) > 1:
		f.long++
		if id != home {
			f.moved++
		}
	case !isLong:
		f.short++
		if f.factor(id) > 1 {
			f.contended++
		}
	}
}

func TestFleetAvoidsContendedHosts(t *testing.T) {
	for _, vms := range []int{7, 60, 112, 300} {
		for _, silent := range []bool{true, false} {
			f := newContendedFleet(vms, silent, 1)
			f.run(8 * time.Second)
			t.Logf("%d VMs, silent %v: %d of %d short requests reached contended hosts, %d of %d long chats moved, %d of %d requests above the bound", vms, silent, f.contended, f.short, f.moved, f.long, f.over, f.sent)
		}
	}
}
