package emulator

import (
	"fmt"
	"time"

	"cardamompoint.example/cardamompoint/gateway/choice"
	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/gateway/news"
	"cardamompoint.example/cardamompoint/gateway/shed"
	"cardamompoint.example/cardamompoint/gateway/traffic"
)

// What gateways do, as package gateway has it.
const (
	reportPeriod = 200 * time.Millisecond
	reportDelay  = 2 * time.Millisecond
	refusalTime  = 2 * time.Millisecond
	readPoll     = 10 * time.Millisecond
	readWaitPart = 0.45
	sendsAtMost  = 5
)

// GatewayWay lets each VM choose for itself, with reports between VMs.
type GatewayWay struct {
	// NoShedding lets engines alone turn requests away.
	NoShedding bool

	fleet      *Fleet
	shedders   []*shed.Shedder
	tables     []*choice.Table
	candidates []*traffic.Endpoint
	work       map[*Request]*choice.Work
	vms        map[*Request]int
}

// Name returns the way's name in tables.
func (w *GatewayWay) Name() string {
	if w.NoShedding {
		return "without shedding"
	}
	return "gateways"
}

// Start prepares the way for a fleet.
func (w *GatewayWay) Start(f *Fleet) {
	w.fleet = f
	w.work, w.vms = map[*Request]*choice.Work{}, map[*Request]int{}
	snapshot := &knowledge.Snapshot{Endpoints: map[string]*traffic.Endpoint{}}
	for _, e := range f.engines {
		w.candidates = append(w.candidates, e.endpoint)
		snapshot.Endpoints[e.endpoint.ID] = e.endpoint
	}
	for vm := range f.scenario.VMs {
		table := choice.NewTable(f.domain(vm), loadMultiple)
		table.Update(snapshot)
		w.tables = append(w.tables, table)
		w.shedders = append(w.shedders, shed.New())
		f.after(reportPeriod*time.Duration(vm)/time.Duration(f.scenario.VMs), func() { w.report(vm) })
	}
}

// report tells the other VMs what a VM does.
func (w *GatewayWay) report(vm int) {
	report := news.Report{Address: fmt.Sprintf("10.0.0.%d", vm+1), FailureDomain: w.fleet.domain(vm)}
	w.tables[vm].FillReport(&report, w.fleet.now)
	for other, table := range w.tables {
		if other != vm {
			w.fleet.after(reportDelay, func() { table.ApplyReport(report, w.fleet.now) })
		}
	}
	w.fleet.after(reportPeriod, func() { w.report(vm) })
}

// Offer lets the caller's VM choose.
func (w *GatewayWay) Offer(r *Request) {
	w.next(r, r.attempts)
}

// next sends an attempt to the next engine, or lets it wait while the engine reads the
// same parts for another request.
func (w *GatewayWay) next(r *Request, attempt int) {
	if r.ended || r.attempts != attempt {
		return
	}
	table, now := w.tables[r.VM], w.fleet.now
	pick, ok := table.Pick(w.candidates, &r.Prompt, r.Kind.Objective, r.hasTried, now)
	if !ok || len(r.tried) >= sendsAtMost {
		w.shedders[r.VM].RecordRejected(now)
		w.fleet.Refuse(r)
		return
	}
	if len(r.tried) == 0 && now == r.offered && w.sheds(r, pick) {
		w.fleet.Refuse(r)
		return
	}
	limit := time.Duration(readWaitPart * float64(r.Kind.Objective))
	if pick.PrefillWait > 0 && now.Sub(r.offered) < limit {
		w.fleet.after(min(pick.PrefillWait, readPoll), func() { w.next(r, attempt) })
		return
	}
	var from *Engine
	if pick.FetchFrom != nil {
		from = w.fleet.engine(pick.FetchFrom.ID)
	}
	engine := w.fleet.engine(pick.Endpoint.ID)
	work := table.Begin(pick, &r.Prompt, now)
	if w.fleet.Send(r, engine, from) {
		w.work[r], w.vms[r] = work, r.VM
		return
	}
	w.fleet.after(refusalTime, func() {
		work.End()
		w.told(r.VM, engine)
		table.RecordOutcome(engine.endpoint.ID, true, w.fleet.now)
		w.next(r, attempt)
	})
}

// sheds reports whether the request is refused so that others can be served.
func (w *GatewayWay) sheds(r *Request, pick choice.Pick) bool {
	if w.NoShedding {
		return false
	}
	request := shed.Request{
		Workspace: fmt.Sprint(r.Workspace),
		Priority:  r.Kind.Priority,
		Cost:      1 + float64(r.Own)/1000,
		Draw:      w.fleet.random.Uint64(),
		Backlog:   time.Duration(pick.BacklogMS * float64(time.Millisecond)),
		Objective: r.Kind.Objective,
		Occupancy: pick.Mean / float64(pick.Endpoint.Slots),
	}
	return w.shedders[r.VM].Decide(request, w.fleet.now).Refused
}

// told takes in the load that an engine tells with an answer.
func (w *GatewayWay) told(vm int, e *Engine) {
	load := traffic.Load{Running: len(e.running), Waiting: len(e.queue), Slots: e.endpoint.Slots}
	w.tables[vm].RecordLoad(e.endpoint.ID, load, w.fleet.now)
}

// Read tells the VM that the prompt was read.
func (w *GatewayWay) Read(r *Request) {
	if work := w.work[r]; work != nil {
		work.PrefillDone()
		w.told(w.vms[r], r.run.engine)
	}
}

// Ended counts the request off.
func (w *GatewayWay) Ended(r *Request, e *Engine) {
	work := w.work[r]
	if work == nil {
		return
	}
	work.End()
	if r.fate == Served {
		w.shedders[w.vms[r]].RecordAnswerTime(w.fleet.now.Sub(r.firstAt))
	}
	w.tables[w.vms[r]].RecordOutcome(e.endpoint.ID, false, w.fleet.now)
	delete(w.work, r)
	delete(w.vms, r)
}
