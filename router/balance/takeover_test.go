package balance

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/settings"
	"cardamompoint.example/cardamompoint/router/template"
)

const (
	leaseTime   = 3 * time.Second
	leaseMargin = 300 * time.Millisecond
	leaseAsk    = time.Second
	suspectTime = 2 * time.Second
	engineName  = "engine-1"
	homeName    = "home"
	backupName  = "backup"
)

// takeoverLimits leave the hard cap of requests as the only bound.
var takeoverLimits = settings.Limits{
	LoadMultiple: 10, EngineFloorTokens: 1 << 30, EngineRequests: 8, EngineTokens: 1 << 30,
}

// actor is one of two routers that may act for an engine.
type actor struct {
	name      string
	ledger    *LoadTracker
	admission *Admission
	started   time.Time
	frozen    bool
	heard     time.Time
	asked     time.Time
	report    *lateReport
	reserved  []*Reservation
	sent      []*Reservation
}

// takeover is a home, its backup and one engine under virtual time.
type takeover struct {
	t      *rapid.T
	now    time.Time
	cut    bool
	home   *actor
	backup *actor
	// late is a lease exchange whose messages wait for their delivery.
	late *lateLease
	// orphans is the work at the engine whose router has lost its counts.
	orphans int
}

// lateLease is a lease request on its way.
type lateLease struct {
	sent     time.Time
	promised bool
	granted  bool
	home     *Admission
}

// lateReport is a load report on its way to a router.
type lateReport struct {
	ledger  *LoadTracker
	number  uint64
	sampled time.Time
	load    endpoint.Load
}

func (w *takeover) start(name string) *actor {
	ledger := NewLoadTracker(takeoverLimits, leaseTime-leaseMargin)
	return &actor{
		name:      name,
		ledger:    ledger,
		admission: NewAdmission(ledger, leaseTime, leaseMargin, w.now),
		started:   w.now,
		heard:     w.now.Add(-time.Hour),
		asked:     w.now.Add(-time.Hour),
	}
}

func newTakeover(t *rapid.T) *takeover {
	w := &takeover{t: t, now: time.Unix(1000, 0)}
	w.home, w.backup = w.start(homeName), w.start(backupName)
	return w
}

func (w *takeover) standing(a *actor) Assignment {
	if a.name == homeName {
		return Assignment{Role: RoleHome, Home: homeName, Since: a.started}
	}
	return Assignment{Role: RoleBackup, Home: homeName, Since: a.started, HomeUnreachable: w.now.Sub(a.heard) > suspectTime}
}

func (w *takeover) atEngine() int {
	return w.orphans + len(w.home.sent) + len(w.backup.sent)
}

func (w *takeover) pick() *actor {
	if rapid.Bool().Draw(w.t, "home") {
		return w.home
	}
	return w.backup
}

// beat exchanges a heartbeat and, when it is due, a lease.
func (w *takeover) beat() {
	if w.cut || w.home.frozen || w.backup.frozen {
		return
	}
	w.home.heard, w.backup.heard = w.now, w.now
	if w.now.Sub(w.home.asked) < leaseAsk {
		return
	}
	w.home.asked = w.now
	manages := func(string) bool { return true }
	if w.backup.admission.GrantLease(homeName, manages, w.now) {
		sent := w.now
		w.now = w.now.Add(time.Millisecond)
		w.home.admission.LeaseGranted(backupName, sent, w.now)
	}
}

func (w *takeover) admit(a *actor) {
	if a.frozen {
		return
	}
	request := Request{Engine: engineName, Model: "m", Workspace: "w", Priority: template.PriorityTag, Tokens: 1}
	reservation, err := a.admission.Admit(request, w.standing(a), w.now)
	if err != nil {
		return
	}
	a.reserved = append(a.reserved, reservation)
}

// send passes the oldest reservation's work to the engine, as a router does
// after its last check.
func (w *takeover) send(a *actor) {
	if a.frozen || len(a.reserved) == 0 {
		return
	}
	reservation := a.reserved[0]
	a.reserved = a.reserved[1:]
	if a.admission.Confirm(reservation, w.standing(a), w.now) != nil {
		reservation.Release()
		return
	}
	a.sent = append(a.sent, reservation)
	reservation.TokenDelivered()
}

func (w *takeover) finish(a *actor) {
	if a.frozen || len(a.sent) == 0 {
		return
	}
	a.sent[0].Release()
	a.sent = a.sent[1:]
}

func (w *takeover) report(a *actor) {
	w.sample(a)
	w.deliver(a)
}

// sample makes the engine's report, which a gets at deliver.
func (w *takeover) sample(a *actor) {
	if a.frozen {
		return
	}
	load := endpoint.Load{Requests: w.atEngine(), Tokens: w.atEngine()}
	a.report = &lateReport{ledger: a.ledger, number: a.ledger.StartReport(engineName), sampled: w.now, load: load}
}

func (w *takeover) deliver(a *actor) {
	if a.frozen || a.report == nil {
		return
	}
	a.report.ledger.RecordReport(engineName, a.report.number, a.report.load, a.report.sampled, w.now)
	a.report = nil
}

// moveLease takes the late lease exchange one message further.
func (w *takeover) moveLease() {
	switch {
	case w.late == nil && !w.home.frozen:
		w.late = &lateLease{sent: w.now, home: w.home.admission}
	case w.late == nil || w.cut:
	case !w.late.promised && !w.backup.frozen:
		w.backup.heard = w.now
		w.late.granted = w.backup.admission.GrantLease(homeName, func(string) bool { return true }, w.now)
		w.late.promised = true
	case w.late.promised && !w.home.frozen:
		if w.late.granted && w.late.home == w.home.admission {
			w.home.admission.LeaseGranted(backupName, w.late.sent, w.now)
		}
		w.late = nil
	}
}

// restart replaces a router by one without counts. Its work goes on.
func (w *takeover) restart(a *actor) {
	w.orphans += len(a.sent)
	*a = *w.start(a.name)
}

func (w *takeover) pass(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		w.beat()
	}
}

// TestTakeoverKeepsCap checks that a home and its backup never have more work
// at an engine than its cap, whatever is cut, frozen, restarted or late.
func TestTakeoverKeepsCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTakeover(t)
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				w.pass(time.Duration(rapid.IntRange(1, 40).Draw(t, "steps")) * 100 * time.Millisecond)
			},
			"cut":    func(*rapid.T) { w.cut = true },
			"mend":   func(*rapid.T) { w.cut = false },
			"freeze": func(*rapid.T) { w.pick().frozen = true },
			"wake": func(*rapid.T) {
				w.pass(20 * time.Second)
				w.home.frozen, w.backup.frozen = false, false
			},
			"restart": func(*rapid.T) { w.restart(w.pick()) },
			"orphan":  func(*rapid.T) { w.orphans = max(0, w.orphans-1) },
			"admit":   func(*rapid.T) { w.admit(w.pick()) },
			"fill": func(*rapid.T) {
				for a, i := w.pick(), 0; i < takeoverLimits.EngineRequests; i++ {
					w.admit(a)
					w.send(a)
				}
			},
			"send":    func(*rapid.T) { w.send(w.pick()) },
			"finish":  func(*rapid.T) { w.finish(w.pick()) },
			"report":  func(*rapid.T) { w.report(w.pick()) },
			"sample":  func(*rapid.T) { w.sample(w.pick()) },
			"deliver": func(*rapid.T) { w.deliver(w.pick()) },
			"lease":   func(*rapid.T) { w.moveLease() },
			"": func(t *rapid.T) {
				if w.atEngine() > takeoverLimits.EngineRequests {
					t.Fatalf("%d requests at the engine: home %d, backup %d, orphans %d",
						w.atEngine(), len(w.home.sent), len(w.backup.sent), w.orphans)
				}
			},
		})
	})
}
