package choice

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// picksChecksum plays a seeded sequence of choices with failures and slow endpoints, and returns a checksum
// of the picks and their delays. beforePick is called before each choice.
func picksChecksum(beforePick func(table *Table, endpoint *traffic.Endpoint, now clock.Boot)) string {
	endpoints := testEndpoints(30)
	table, now, sum := newTestTable(endpoints), clock.Boot(time.Hour), fnv.New64a()
	for request := range uint64(1500) {
		now = now.Add(7 * time.Millisecond)
		prompt := []*traffic.Prompt{{}, shortPrompt(request%90, request), chatPrompt(request%50, request)}[request%3]
		beforePick(table, endpoints[request%30], now)
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

// TestChoicesWithoutContentionAreUnchanged guards against choices that differ although no host is contended: the
// checksum is that of the picks before contention counted. A change of other costs changes it too. It also guards
// against requests that gather at an endpoint which states an impossibly short time.
func TestChoicesWithoutContentionAreUnchanged(t *testing.T) {
	const want = "c062665854eea554"
	for name, stated := range map[string]func(id string) (float64, time.Duration){
		"none":     func(string) (float64, time.Duration) { return 0, 0 },
		"usual":    func(string) (float64, time.Duration) { return 1, 0 },
		"one fast": func(id string) (float64, time.Duration) { return map[string]float64{"e05": 0.1}[id], 0 },
		"long ago": func(string) (float64, time.Duration) { return 2.5, 2 * time.Second },
	} {
		got := picksChecksum(func(table *Table, endpoint *traffic.Endpoint, now clock.Boot) {
			factor, age := stated(endpoint.ID)
			table.RecordContention(endpoint, factor, now.Add(-age))
		})
		if got != want {
			t.Errorf("%s: the checksum of the picks is %s, want %s", name, got, want)
		}
	}
}

const (
	contendedFactor = 2.5
	contendedShare  = 0.15
	contendedPeriod = 600 * time.Millisecond
	contendedPause  = 1200 * time.Microsecond
)

// contendedFleet plays VMs that send requests to engines, 15 in 100 of whose hosts are contended at any moment.
type contendedFleet struct {
	*herd
	// contendedUntil are the ends of the periods of contention, lastEngines the engines that served each long chat last.
	contendedUntil map[string]clock.Boot
	lastEngines    map[uint64]string
	// contended is the number of short requests that reached contended hosts, expected the number with requests spread
	// evenly over all hosts.
	contended int
	expected  float64
	// long is the number of long chats whose last engine was contended, moved the number of those that were sent to an
	// engine without all of their parts.
	long, moved int
}

// play sends requests for a duration; those of the first half don't count.
func (f *contendedFleet) play(duration time.Duration) {
	f.contention = func(id string) float64 {
		if f.now < f.contendedUntil[id] {
			return contendedFactor
		}
		return 1
	}
	startProbability := contendedShare / (1 - contendedShare) * float64(contendedPause) / float64(contendedPeriod)
	for ; f.now.Sub(f.began) < duration; f.now = f.now.Add(contendedPause) {
		hosts := 0
		for _, endpoint := range f.endpoints {
			if f.now >= f.contendedUntil[endpoint.ID] && f.random.Float64() < startProbability {
				f.contendedUntil[endpoint.ID] = f.now.Add(contendedPeriod/2 + time.Duration(f.random.Int64N(int64(contendedPeriod))))
			}
			if f.now < f.contendedUntil[endpoint.ID] {
				hosts++
			}
		}
		f.runDueEvents()
		f.request(float64(hosts)/float64(len(f.endpoints)), f.now.Sub(f.began) > duration/2)
	}
}

// request sends a request from a random VM: one in four is of a long chat, the others are short. share is the share of
// the hosts that are contended, counts reports whether the result is counted.
func (f *contendedFleet) request(share float64, counts bool) {
	vm, chat, isLong := f.random.IntN(len(f.tables)), f.random.Uint64N(150), f.random.IntN(4) == 0
	prompt := shortPrompt(f.random.Uint64N(400), f.random.Uint64())
	if isLong {
		prompt = chatPrompt(chat, f.random.Uint64())
	}
	pick, _ := f.tables[vm].Pick(f.endpoints, Request{Prompt: prompt, Objective: 400 * time.Millisecond}, excludeNone, f.now)
	last := f.lastEngines[chat]
	switch {
	case isLong:
		f.lastEngines[chat] = pick.Endpoint.ID
		if counts && last != "" && f.contention(last) > 1 {
			f.long++
			f.moved += min(1, pick.MissingTokens)
		}
	case counts:
		f.expected += share
		if f.contention(pick.Endpoint.ID) > 1 {
			f.contended++
		}
	}
	f.attempt(vm, pick, prompt)
}

// TestFleetAvoidsContendedHosts guards against short requests that reach contended hosts as often as others, long chats
// that leave their engines for a short period, and herds at the hosts that are not contended. In larger fleets fewer
// VMs hear of a period before it ends, so the part of the even share is larger; with 300 the test only guards against
// contended hosts that get more.
func TestFleetAvoidsContendedHosts(t *testing.T) {
	for vms, part := range map[int]float64{7: 0.75, 60: 0.9, 112: 0.97, 300: 1.05} {
		f := &contendedFleet{herd: newHerd(vms, 140, 0, trouble{}, 1), contendedUntil: map[string]clock.Boot{}, lastEngines: map[uint64]string{}}
		f.play(10 * time.Second)
		t.Logf("%d VMs: %d short requests reached contended hosts, %.2f of an even share; %d of %d long chats moved; %d of %d requests above the bound", vms, f.contended, float64(f.contended)/f.expected, f.moved, f.long, f.over, f.sent)
		if float64(f.contended) > part*f.expected || f.moved*10 > f.long || f.over*100 > 3*f.sent {
			t.Errorf("%d VMs: want at most %.2f of an even share, 10 in 100 long chats and 3 in 100 requests", vms, part)
		}
	}
}

// TestRestartedEngineStartsWithoutContention guards against a statement that counts for the next instance, also if
// another VM relays it after the restart, and against one that is lost before the endpoint is listed.
func TestRestartedEngineStartsWithoutContention(t *testing.T) {
	endpoints, now := testEndpoints(2), clock.Boot(time.Hour)
	table, other := newTestTable(endpoints), newTestTable(endpoints)
	contention := func(endpoint *traffic.Endpoint) float64 {
		candidates := table.Explain([]*traffic.Endpoint{endpoint}, Request{Prompt: &traffic.Prompt{}}, now)
		return candidates[0].Contention
	}
	other.RecordContention(endpoints[0], 2.5, now)
	report := gossip.Report{Address: "other"}
	other.FillReport(&report, now)
	table.ApplyReport(report, now)
	if got := contention(endpoints[0]); got < 2.3 {
		t.Errorf("before the restart: %v", got)
	}
	restarted := *endpoints[0]
	restarted.StartedMS = 7
	table.Update(&knowledge.Snapshot{Endpoints: map[string]*traffic.Endpoint{restarted.ID: &restarted}})
	table.ApplyReport(report, now)
	if got := contention(&restarted); got != 1 {
		t.Errorf("after the restart: %v", got)
	}
	next := restarted
	next.StartedMS = 9
	table.RecordContention(&next, 3, now)
	table.Update(&knowledge.Snapshot{Endpoints: map[string]*traffic.Endpoint{next.ID: &next}})
	if got := contention(&next); got != 3 {
		t.Errorf("stated before the entry arrived: %v", got)
	}
}
