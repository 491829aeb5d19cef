package emulator

import (
	"fmt"
	"time"

	"cardamompoint.example/cardamompoint/gateway/choice"
	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/gateway/shed"
	"cardamompoint.example/cardamompoint/gateway/traffic"
)

// Parameters of the gateways. Those that package gateway has too have its values.
const (
	// Each VM reports to the others every reportPeriod. Reports take reportDelay.
	reportPeriod = 200 * time.Millisecond
	reportDelay  = 2 * time.Millisecond
	// rejectionTime is the time until the VM knows that an engine has rejected a request.
	rejectionTime = 2 * time.Millisecond
	// A request whose shared parts are being prefilled is checked every
	// prefillPollInterval and waits for at most maxPrefillWaitShare of its objective.
	prefillPollInterval = 10 * time.Millisecond
	maxPrefillWaitShare = 0.45
	// maxSends is the largest number of sends of one attempt.
	maxSends = 5
)

// GatewayPolicy places requests as the gateway does: each VM chooses on its own, with
// packages choice and shed, and VMs exchange reports.
type GatewayPolicy struct {
	// NoShedding disables load shedding, so that only full engines reject requests.
	NoShedding bool
	// ReturnAtOnce lets refused callers ignore the time given in a refusal and return soon.
	ReturnAtOnce bool

	sim *Simulation
	// shedders and tables have one element for each VM.
	shedders   []*shed.Shedder
	tables     []*choice.Table
	candidates []*traffic.Endpoint
	// work and requestVMs are the work and the VM of requests that are at an engine.
	work       map[*Request]*choice.Work
	requestVMs map[*Request]int
}

// Name returns the policy's name in tables.
func (p *GatewayPolicy) Name() string {
	if p.NoShedding {
		return "without shedding"
	}
	return "gateways"
}

// Start prepares the policy for a simulation. The VMs' reports are spread evenly over
// reportPeriod.
func (p *GatewayPolicy) Start(sim *Simulation) {
	p.sim = sim
	p.work, p.requestVMs = map[*Request]*choice.Work{}, map[*Request]int{}
	snapshot := &knowledge.Snapshot{Endpoints: map[string]*traffic.Endpoint{}}
	for _, e := range sim.engines {
		p.candidates = append(p.candidates, e.endpoint)
		snapshot.Endpoints[e.endpoint.ID] = e.endpoint
	}
	for vm := range sim.scenario.VMs {
		table := choice.NewTable(sim.domain(vm), loadMultiple)
		table.Seed(uint64(vm))
		table.Update(snapshot)
		p.tables = append(p.tables, table)
		p.shedders = append(p.shedders, shed.New())
		sim.after(reportPeriod*time.Duration(vm)/time.Duration(sim.scenario.VMs), func() { p.report(vm) })
	}
}

// report sends a report of a VM to all others and schedules the next one.
func (p *GatewayPolicy) report(vm int) {
	report := gossip.Report{Address: fmt.Sprintf("10.0.0.%d", vm+1), FailureDomain: p.sim.domain(vm)}
	p.tables[vm].FillReport(&report, p.sim.now)
	for other, table := range p.tables {
		if other != vm {
			p.sim.after(reportDelay, func() { table.ApplyReport(report, p.sim.now) })
		}
	}
	p.sim.after(reportPeriod, func() { p.report(vm) })
}

// Place lets the VM that received the request choose an engine.
func (p *GatewayPolicy) Place(r *Request) {
	p.sendNext(r, r.attempts)
}

// sendNext sends an attempt to the next engine that the VM picks. While that engine is
// prefilling the same parts for another request, the attempt waits and picks again.
func (p *GatewayPolicy) sendNext(r *Request, attempt int) {
	if r.ended || r.attempts != attempt {
		return
	}
	table, now := p.tables[r.VM], p.sim.now
	pick, ok := table.Pick(p.candidates, choice.Request{Prompt: &r.Prompt, Objective: r.Kind.Objective}, r.hasTried, now)
	if !ok || len(r.tried) >= maxSends {
		p.shedders[r.VM].RecordRejected(now)
		p.sim.Refuse(r, 0)
		return
	}
	if len(r.tried) == 0 && now == r.offeredAt {
		if decision := p.decide(r, pick); decision.Refused {
			p.sim.Refuse(r, p.retryAfter(decision))
			return
		}
	}
	limit := time.Duration(maxPrefillWaitShare * float64(r.Kind.Objective))
	if pick.PrefillWait > 0 && now.Sub(r.offeredAt) < limit {
		p.sim.after(min(pick.PrefillWait, prefillPollInterval), func() { p.sendNext(r, attempt) })
		return
	}
	var from *Engine
	if pick.FetchFrom != nil {
		from = p.sim.engine(pick.FetchFrom.ID)
	}
	engine := p.sim.engine(pick.Endpoint.ID)
	work := table.Begin(pick, &r.Prompt, now)
	if p.sim.Send(r, engine, from) {
		p.work[r], p.requestVMs[r] = work, r.VM
		return
	}
	p.sim.after(rejectionTime, func() {
		work.End()
		p.recordLoad(r.VM, engine)
		table.RecordOutcome(engine.endpoint.ID, true, p.sim.now)
		p.sendNext(r, attempt)
	})
}

// retryAfter returns when a refused caller should return, 0 for a short time.
func (p *GatewayPolicy) retryAfter(decision shed.Decision) time.Duration {
	if p.ReturnAtOnce {
		return 0
	}
	return decision.RetryAfter
}

// decide decides whether the VM refuses the request because of overload.
func (p *GatewayPolicy) decide(r *Request, pick choice.Pick) shed.Decision {
	if p.NoShedding {
		return shed.Decision{}
	}
	request := shed.Request{
		Route:     r.Kind.Name,
		Workspace: fmt.Sprint(r.Workspace),
		Priority:  r.Kind.Priority,
		Cost:      1 + float64(r.UniqueTokens)/1000,
		Draw:      p.sim.random.Uint64(),
		Backlog:   time.Duration(pick.BacklogMS * float64(time.Millisecond)),
		Delay:     time.Duration(pick.DelayMS * float64(time.Millisecond)),
		Objective: r.Kind.Objective,
		TimeLeft:  p.sim.timeLeft(r),
		Occupancy: pick.Mean / float64(pick.Endpoint.Slots),
	}
	return p.shedders[r.VM].Decide(request, p.sim.now)
}

// recordLoad records at a VM the load that an engine reports with an answer.
func (p *GatewayPolicy) recordLoad(vm int, e *Engine) {
	load := traffic.Load{Running: len(e.running), Waiting: len(e.queue), Slots: e.endpoint.Slots}
	p.tables[vm].RecordLoad(e.endpoint.ID, load, p.sim.now)
}

// PrefillDone records at the VM that the prompt is prefilled.
func (p *GatewayPolicy) PrefillDone(r *Request) {
	if work := p.work[r]; work != nil {
		work.PrefillDone()
		work.RecordDelay(p.sim.now)
		p.recordLoad(p.requestVMs[r], r.sequence.engine)
	}
}

// Finished ends the request's work at its VM.
func (p *GatewayPolicy) Finished(r *Request, e *Engine) {
	work := p.work[r]
	if work == nil {
		return
	}
	work.End()
	if r.outcome == Served {
		p.shedders[p.requestVMs[r]].RecordAnswerTime(p.sim.now.Sub(r.firstTokenAt))
	}
	p.tables[p.requestVMs[r]].RecordOutcome(e.endpoint.ID, false, p.sim.now)
	delete(p.work, r)
	delete(p.requestVMs, r)
}
