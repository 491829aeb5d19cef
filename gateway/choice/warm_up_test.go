package choice

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// maxWarmUpRequests is the number of requests of one second that an endpoint with 64 slots takes
// after its start.
const maxWarmUpRequests = 20

// warmUpFleet plays VMs that send requests without prompts to endpoints, one of which has just started.
type warmUpFleet struct {
	now       clock.Boot
	random    *rand.Rand
	tables    []*Table
	endpoints []*traffic.Endpoint
	// arrivals are the times of requests at the endpoint that has just started.
	arrivals []clock.Boot
	// ends are the requests in progress.
	ends []warmUpFlight
}

type warmUpFlight struct {
	work *Work
	at   clock.Boot
}

// newWarmUpFleet returns VMs that know each other, and endpoints of which the first one warms up.
func newWarmUpFleet(vms, endpoints int, left time.Duration, seed uint64) *warmUpFleet {
	f := &warmUpFleet{now: clock.Boot(time.Hour), random: rand.New(rand.NewPCG(seed, 5)), endpoints: testEndpoints(endpoints)}
	f.endpoints[0].WarmUpLeft = left
	snapshot := &knowledge.Snapshot{Endpoints: map[string]*traffic.Endpoint{}}
	for _, endpoint := range f.endpoints {
		snapshot.Endpoints[endpoint.ID] = endpoint
	}
	for vm := range vms {
		table := NewTable(fmt.Sprintf("d%d", vm%3), 2)
		table.random = rand.New(rand.NewPCG(seed, uint64(vm)))
		for peer := range vms - 1 {
			table.ApplyReport(gossip.Report{Address: fmt.Sprint("vm-", peer)}, f.now)
		}
		table.update(snapshot, f.now)
		f.tables = append(f.tables, table)
	}
	return f
}

// run sends requests of random VMs at a rate; each takes 200 to 600 ms.
func (f *warmUpFleet) run(perSecond int, duration time.Duration) {
	pause := time.Second / time.Duration(perSecond)
	for end := f.now.Add(duration); f.now < end; f.now = f.now.Add(pause) {
		f.finish()
		table := f.tables[f.random.IntN(len(f.tables))]
		prompt := &traffic.Prompt{}
		pick, ok := table.Pick(f.endpoints, Request{Prompt: prompt, Objective: testObjective}, excludeNone, f.now)
		if !ok {
			continue
		}
		if pick.Endpoint == f.endpoints[0] {
			f.arrivals = append(f.arrivals, f.now)
		}
		took := time.Duration(200+f.random.IntN(400)) * time.Millisecond
		f.ends = append(f.ends, warmUpFlight{table.Begin(pick, prompt, f.now), f.now.Add(took)})
	}
}

// finish ends the requests that are due.
func (f *warmUpFleet) finish() {
	left := f.ends[:0]
	for _, flight := range f.ends {
		if flight.at <= f.now {
			flight.work.End()
			continue
		}
		left = append(left, flight)
	}
	f.ends = left
}

// most returns the largest number of arrivals in one second.
func (f *warmUpFleet) most() int {
	most, first := 0, 0
	for i, at := range f.arrivals {
		for at.Sub(f.arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestFleetSparesAnEndpointThatHasJustStarted guards against an endpoint that is flooded after its start because it is idle.
func TestFleetSparesAnEndpointThatHasJustStarted(t *testing.T) {
	const warmUp = 8 * time.Second
	for _, vms := range []int{7, 74, 300} {
		for seed := range uint64(5) {
			f := newWarmUpFleet(vms, 18, warmUp, seed)
			f.run(600, warmUp)
			most, all := f.most(), len(f.arrivals)
			t.Logf("%d VMs, seed %d: at most %d requests in a second, %d in all", vms, seed, most, all)
			if most > maxWarmUpRequests {
				t.Errorf("%d VMs, seed %d: %d requests in a second, want at most %d", vms, seed, most, maxWarmUpRequests)
			}
			if all == 0 {
				t.Errorf("%d VMs, seed %d: the endpoint got nothing", vms, seed)
			}
			f.arrivals = nil
			f.run(600, 4*time.Second)
			if after := len(f.arrivals); after < 60 {
				t.Errorf("%d VMs, seed %d: the warm endpoint got %d requests in 4 s", vms, seed, after)
			}
		}
	}
}

// TestEndpointsThatAllWarmUpServe guards against refusals while all endpoints have just started.
func TestEndpointsThatAllWarmUpServe(t *testing.T) {
	f := newWarmUpFleet(7, 1, 8*time.Second, 1)
	f.run(100, time.Second)
	if len(f.arrivals) < 100 {
		t.Errorf("%d of 100 requests found an endpoint", len(f.arrivals))
	}
}
