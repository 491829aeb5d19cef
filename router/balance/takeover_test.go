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
	leaseDuration      = 3 * time.Second
	leaseMargin        = 300 * time.Millisecond
	leaseRenewInterval = time.Second
	suspectTimeout     = 2 * time.Second
	engineName         = "engine-1"
	homeName           = "home"
	backupName         = "backup"
)

// takeoverLimits make the hard cap of requests the only bound.
var takeoverLimits = settings.Limits{
	LoadMultiple: 10, EngineFloorTokens: 1 << 30, EngineRequests: 8, EngineTokens: 1 << 30,
}

// testRouter is one of the two routers that may admit work to an engine.
type testRouter struct {
	name             string
	tracker          *LoadTracker
	admission        *Admission
	startedAt        time.Time
	paused           bool
	heardAt          time.Time
	leaseRequestedAt time.Time
	report           *delayedReport
	reserved         []*Reservation
	sent             []*Reservation
}

// takeoverSim simulates a home, its backup and one engine in virtual time.
type takeoverSim struct {
	t           *rapid.T
	now         time.Time
	partitioned bool
	home        *testRouter
	backup      *testRouter
	// delayed is a lease exchange whose messages are not yet delivered.
	delayed *delayedLease
	// orphans is the number of requests at the engine whose router restarted and
	// lost its counts.
	orphans int
}

// delayedLease is a lease request in transit, or its answer.
type delayedLease struct {
	sent time.Time
	// answered reports whether the backup has answered, granted what it answered.
	answered bool
	granted  bool
	// home is the process that sent the request.
	home *Admission
}

// delayedReport is a load report in transit to a router.
type delayedReport struct {
	tracker   *LoadTracker
	sequence  uint64
	sampledAt time.Time
	load      endpoint.Load
}

func (w *takeoverSim) start(name string) *testRouter {
	tracker := NewLoadTracker(takeoverLimits, leaseDuration-leaseMargin)
	return &testRouter{
		name:             name,
		tracker:          tracker,
		admission:        NewAdmission(tracker, leaseDuration, leaseMargin, w.now),
		startedAt:        w.now,
		heardAt:          w.now.Add(-time.Hour),
		leaseRequestedAt: w.now.Add(-time.Hour),
	}
}

func newTakeoverSim(t *rapid.T) *takeoverSim {
	w := &takeoverSim{t: t, now: time.Unix(1000, 0)}
	w.home, w.backup = w.start(homeName), w.start(backupName)
	return w
}

func (w *takeoverSim) assignment(a *testRouter) Assignment {
	if a.name == homeName {
		return Assignment{Role: RoleHome, Home: homeName, Since: a.startedAt}
	}
	return Assignment{Role: RoleBackup, Home: homeName, Since: a.startedAt, HomeUnreachable: w.now.Sub(a.heardAt) > suspectTimeout}
}

func (w *takeoverSim) requestsAtEngine() int {
	return w.orphans + len(w.home.sent) + len(w.backup.sent)
}

func (w *takeoverSim) pick() *testRouter {
	if rapid.Bool().Draw(w.t, "home") {
		return w.home
	}
	return w.backup
}

// heartbeat exchanges a heartbeat and, if a renewal is due, renews the lease.
func (w *takeoverSim) heartbeat() {
	if w.partitioned || w.home.paused || w.backup.paused {
		return
	}
	w.home.heardAt, w.backup.heardAt = w.now, w.now
	if w.now.Sub(w.home.leaseRequestedAt) < leaseRenewInterval {
		return
	}
	w.home.leaseRequestedAt = w.now
	manages := func(string) bool { return true }
	if w.backup.admission.GrantLease(homeName, manages, w.now) {
		sent := w.now
		w.now = w.now.Add(time.Millisecond)
		w.home.admission.LeaseGranted(backupName, sent, w.now)
	}
}

func (w *takeoverSim) admit(a *testRouter) {
	if a.paused {
		return
	}
	request := Request{Engine: engineName, Model: "m", Workspace: "w", Priority: template.PriorityTag, Tokens: 1}
	reservation, err := a.admission.Admit(request, w.assignment(a), w.now)
	if err != nil {
		return
	}
	a.reserved = append(a.reserved, reservation)
}

// send sends the work of the oldest reservation to the engine if Confirm still
// allows it, as a router does.
func (w *takeoverSim) send(a *testRouter) {
	if a.paused || len(a.reserved) == 0 {
		return
	}
	reservation := a.reserved[0]
	a.reserved = a.reserved[1:]
	if a.admission.Confirm(reservation, w.assignment(a), w.now) != nil {
		reservation.Release()
		return
	}
	a.sent = append(a.sent, reservation)
	reservation.TokenDelivered()
}

func (w *takeoverSim) finish(a *testRouter) {
	if a.paused || len(a.sent) == 0 {
		return
	}
	a.sent[0].Release()
	a.sent = a.sent[1:]
}

func (w *takeoverSim) report(a *testRouter) {
	w.sample(a)
	w.deliver(a)
}

// sample creates a load report of the engine, which deliver passes to a.
func (w *takeoverSim) sample(a *testRouter) {
	if a.paused {
		return
	}
	load := endpoint.Load{Requests: w.requestsAtEngine(), Tokens: w.requestsAtEngine()}
	a.report = &delayedReport{tracker: a.tracker, sequence: a.tracker.StartReport(engineName), sampledAt: w.now, load: load}
}

func (w *takeoverSim) deliver(a *testRouter) {
	if a.paused || a.report == nil {
		return
	}
	a.report.tracker.RecordReport(engineName, a.report.sequence, a.report.load, a.report.sampledAt, w.now)
	a.report = nil
}

// advanceDelayedLease delivers the next message of the delayed lease exchange.
func (w *takeoverSim) advanceDelayedLease() {
	switch {
	case w.delayed == nil && !w.home.paused:
		w.delayed = &delayedLease{sent: w.now, home: w.home.admission}
	case w.delayed == nil || w.partitioned:
	case !w.delayed.answered && !w.backup.paused:
		w.backup.heardAt = w.now
		w.delayed.granted = w.backup.admission.GrantLease(homeName, func(string) bool { return true }, w.now)
		w.delayed.answered = true
	case w.delayed.answered && !w.home.paused:
		if w.delayed.granted && w.delayed.home == w.home.admission {
			w.home.admission.LeaseGranted(backupName, w.delayed.sent, w.now)
		}
		w.delayed = nil
	}
}

// restart replaces a router by a new process without counts. Its work at the
// engine continues.
func (w *takeoverSim) restart(a *testRouter) {
	w.orphans += len(a.sent)
	*a = *w.start(a.name)
}

func (w *takeoverSim) advance(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		w.heartbeat()
	}
}

// TestTakeoverKeepsCap checks that a home and its backup never exceed an engine's
// cap together, for random sequences of partitions, pauses, restarts and delayed
// messages.
func TestTakeoverKeepsCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTakeoverSim(t)
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "steps")) * 100 * time.Millisecond)
			},
			"cut":    func(*rapid.T) { w.partitioned = true },
			"mend":   func(*rapid.T) { w.partitioned = false },
			"freeze": func(*rapid.T) { w.pick().paused = true },
			"wake": func(*rapid.T) {
				w.advance(20 * time.Second)
				w.home.paused, w.backup.paused = false, false
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
			"lease":   func(*rapid.T) { w.advanceDelayedLease() },
			"": func(t *rapid.T) {
				if w.requestsAtEngine() > takeoverLimits.EngineRequests {
					t.Fatalf("%d requests at the engine: home %d, backup %d, orphans %d",
						w.requestsAtEngine(), len(w.home.sent), len(w.backup.sent), w.orphans)
				}
			},
		})
	})
}
