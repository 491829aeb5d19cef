package choice

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// failingLoad plays requests that may be sent once to a fleet while some endpoints fail a part
// of them.
type failingLoad struct {
	vms, endpoints int
	// failing endpoints fail failureShare of their requests, all others baseShare.
	failing      int
	failureShare float64
	baseShare    float64
	perSecond    int
	// repeatReports sends each report twice, the second time after a newer one.
	repeatReports bool
}

// playedFor is the time for which a failingLoad is played.
const playedFor = 8 * time.Second

// lostToFailing returns how many requests failed at the failing endpoints, and how many would
// have if all endpoints got as many.
func (l failingLoad) lostToFailing() (lost, even float64) {
	endpoints := testEndpoints(l.endpoints)
	g := &gossipFleet{random: rand.New(rand.NewPCG(7, uint64(l.vms))), now: clock.Boot(time.Hour)}
	for vm := range l.vms {
		g.tables = append(g.tables, newSeededTable(endpoints, vm))
	}
	failing := endpoints[:l.failing]
	pause := time.Second / time.Duration(l.perSecond)
	nextReports := g.now
	for began := g.now; g.now.Sub(began) < playedFor; g.now = g.now.Add(pause) {
		if g.now >= nextReports {
			nextReports = g.now.Add(gossipPeriod)
			l.report(g)
		}
		table := g.tables[g.random.IntN(l.vms)]
		prompt := chatPrompt(g.random.Uint64N(60), g.random.Uint64())
		pick, _ := table.Pick(endpoints, Request{Prompt: prompt, Objective: testObjective, Once: true}, excludeNone, g.now)
		table.Begin(pick, prompt, g.now).End()
		share := l.baseShare
		bad := slices.Contains(failing, pick.Endpoint)
		if bad {
			share = l.failureShare
		}
		failed := g.random.Float64() < share
		table.RecordOutcome(pick.Endpoint.ID, failed, g.now)
		if bad && failed {
			lost++
		}
	}
	requests := playedFor.Seconds() * float64(l.perSecond)
	return lost, requests * l.failureShare * float64(l.failing) / float64(l.endpoints)
}

// report lets each VM report to all others, or to some in a large fleet.
func (l failingLoad) report(g *gossipFleet) {
	const smallFleet = 12
	for from, table := range g.tables {
		report := gossip.Report{Address: fmt.Sprint("vm-", from), Sequence: int64(g.now) / int64(gossipPeriod)}
		targets := g.random.Perm(l.vms)
		if l.vms > smallFleet {
			report.Heartbeats = []gossip.Heartbeat{{}}
			targets = targets[:gossipTargets]
		}
		table.FillReport(&report, g.now)
		for _, to := range targets {
			if to == from {
				continue
			}
			g.tables[to].ApplyReport(report, g.now)
			if l.repeatReports {
				g.tables[to].ApplyReport(report, g.now)
			}
		}
	}
}

// TestFailingEndpointsLoseFewRequests lets two of nine endpoints fail three in ten requests,
// and others at other sizes: less than half of the requests that an even spread would lose
// there may be lost.
func TestFailingEndpointsLoseFewRequests(t *testing.T) {
	for name, load := range map[string]failingLoad{
		"small fleet":               {vms: 9, endpoints: 9, failing: 2, failureShare: 0.3, perSecond: 60},
		"most endpoints fail":       {vms: 9, endpoints: 9, failing: 5, failureShare: 0.4, perSecond: 60},
		"others fail some":          {vms: 9, endpoints: 9, failing: 2, failureShare: 0.5, baseShare: 0.05, perSecond: 60},
		"reports that come twice":   {vms: 9, endpoints: 9, failing: 2, failureShare: 0.3, perSecond: 60, repeatReports: true},
		"one VM":                    {vms: 1, endpoints: 4, failing: 1, failureShare: 0.5, perSecond: 40},
		"large fleet":               {vms: 63, endpoints: 90, failing: 20, failureShare: 0.3, perSecond: 700},
		"large fleet, one endpoint": {vms: 63, endpoints: 90, failing: 1, failureShare: 0.8, perSecond: 700},
	} {
		if lost, even := load.lostToFailing(); lost > even/2 {
			t.Errorf("%s: %.0f requests lost at failing endpoints, an even spread loses %.0f", name, lost, even)
		} else {
			t.Logf("%s: %.0f of %.0f", name, lost, even)
		}
	}
}

// TestSharedFailureMovesNoPrompts lets all endpoints of a fleet that has served for some time
// fail four in ten requests: chats must stay at the endpoints that hold them nearly as often as
// if none failed.
func TestSharedFailureMovesNoPrompts(t *testing.T) {
	endpoints := testEndpoints(90)
	moved := map[float64]int{}
	for _, share := range []float64{0, 0.4} {
		random := rand.New(rand.NewPCG(3, 3))
		table := newTestTable(endpoints)
		now := clock.Boot(time.Hour)
		for request := range 6000 + 3000 {
			now = now.Add(time.Millisecond)
			prompt := chatPrompt(random.Uint64N(200), random.Uint64())
			pick, _ := table.Pick(endpoints, Request{Prompt: prompt, Objective: testObjective, Once: true}, excludeNone, now)
			if pick.Reason == ReasonSpill {
				moved[share]++
			}
			table.Begin(pick, prompt, now).End()
			table.RecordOutcome(pick.Endpoint.ID, request >= 3000 && random.Float64() < share, now)
		}
	}
	if moved[0.4] > moved[0]+60 {
		t.Errorf("%d of 6000 requests left the endpoint that held their chat, %d without failures", moved[0.4], moved[0])
	}
}

// TestOutcomesOfALostVMAreForgotten applies a report and forgets its sender.
func TestOutcomesOfALostVMAreForgotten(t *testing.T) {
	endpoints := testEndpoints(3)
	table := newTestTable(endpoints)
	now := clock.Boot(time.Hour)
	table.ApplyReport(gossip.Report{Address: "vm", Outcomes: []gossip.EndpointOutcomes{{Endpoint: "e01", Good: 4, Failed: 40}}}, now)
	fault := func() int {
		for _, candidate := range table.Explain(endpoints, Request{Prompt: &traffic.Prompt{}, Objective: testObjective}, now) {
			if candidate.Endpoint == "e01" {
				return candidate.FaultPercent
			}
		}
		return -1
	}
	before := fault()
	table.ForgetVM("vm", now)
	if after := fault(); before < 30 || after > 5 {
		t.Errorf("the estimate is %d%%, and %d%% without the VM", before, after)
	}
}
