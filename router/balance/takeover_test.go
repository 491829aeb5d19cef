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

func (s *takeoverSim) start(name string) *testRouter {
	tracker := NewLoadTracker(takeoverLimits, leaseDuration-leaseMargin)
	return &testRouter{
		name:             name,
		tracker:          tracker,
		admission:        NewAdmission(tracker, leaseDuration, leaseMargin, s.now),
		startedAt:        s.now,
		heardAt:          s.now.Add(-time.Hour),
		leaseRequestedAt: s.now.Add(-time.Hour),
	}
}

func newTakeoverSim(t *rapid.T) *takeoverSim {
	s := &takeoverSim{t: t, now: time.Unix(1000, 0)}
	s.home, s.backup = s.start(homeName), s.start(backupName)
	return s
}

func (s *takeoverSim) assignment(r *testRouter) Assignment {
	if r.name == homeName {
		return Assignment{Role: RoleHome, Home: homeName, Since: r.startedAt}
	}
	return Assignment{Role: RoleBackup, Home: homeName, Since: r.startedAt, HomeUnreachable: s.now.Sub(r.heardAt) > suspectTimeout}
}

func (s *takeoverSim) requestsAtEngine() int {
	return s.orphans + len(s.home.sent) + len(s.backup.sent)
}

func (s *takeoverSim) pick() *testRouter {
	if rapid.Bool().Draw(s.t, "home") {
		return s.home
	}
	return s.backup
}

// heartbeat exchanges a heartbeat and, if a renewal is due, renews the lease.
func (s *takeoverSim) heartbeat() {
	if s.partitioned || s.home.paused || s.backup.paused {
		return
	}
	s.home.heardAt, s.backup.heardAt = s.now, s.now
	if s.now.Sub(s.home.leaseRequestedAt) < leaseRenewInterval {
		return
	}
	s.home.leaseRequestedAt = s.now
	manages := func(string) bool { return true }
	if s.backup.admission.GrantLease(homeName, manages, s.now) {
		sent := s.now
		s.now = s.now.Add(time.Millisecond)
		s.home.admission.LeaseGranted(backupName, sent, s.now)
	}
}

func (s *takeoverSim) admit(r *testRouter) {
	if r.paused {
		return
	}
	request := Request{Engine: engineName, Model: "m", Workspace: "w", Priority: template.PriorityTag, Tokens: 1}
	reservation, err := r.admission.Admit(request, s.assignment(r), s.now)
	if err != nil {
		return
	}
	r.reserved = append(r.reserved, reservation)
}

// send sends the work of the oldest reservation to the engine if Confirm still
// allows it, as a router does.
func (s *takeoverSim) send(r *testRouter) {
	if r.paused || len(r.reserved) == 0 {
		return
	}
	reservation := r.reserved[0]
	r.reserved = r.reserved[1:]
	if r.admission.Confirm(reservation, s.assignment(r), s.now) != nil {
		reservation.Release()
		return
	}
	r.sent = append(r.sent, reservation)
	reservation.TokenDelivered()
}

func (s *takeoverSim) finish(r *testRouter) {
	if r.paused || len(r.sent) == 0 {
		return
	}
	r.sent[0].Release()
	r.sent = r.sent[1:]
}

func (s *takeoverSim) report(r *testRouter) {
	s.sample(r)
	s.deliver(r)
}

// sample creates a load report of the engine, which deliver passes to a.
func (s *takeoverSim) sample(r *testRouter) {
	if r.paused {
		return
	}
	load := endpoint.Load{Requests: s.requestsAtEngine(), Tokens: s.requestsAtEngine()}
	r.report = &delayedReport{tracker: r.tracker, sequence: r.tracker.StartReport(engineName), sampledAt: s.now, load: load}
}

func (s *takeoverSim) deliver(r *testRouter) {
	if r.paused || r.report == nil {
		return
	}
	r.report.tracker.RecordReport(engineName, r.report.sequence, r.report.load, r.report.sampledAt, s.now)
	r.report = nil
}

// advanceDelayedLease delivers the next message of the delayed lease exchange.
func (s *takeoverSim) advanceDelayedLease() {
	switch {
	case s.delayed == nil && !s.home.paused:
		s.delayed = &delayedLease{sent: s.now, home: s.home.admission}
	case s.delayed == nil || s.partitioned:
	case !s.delayed.answered && !s.backup.paused:
		s.backup.heardAt = s.now
		s.delayed.granted = s.backup.admission.GrantLease(homeName, func(string) bool { return true }, s.now)
		s.delayed.answered = true
	case s.delayed.answered && !s.home.paused:
		if s.delayed.granted && s.delayed.home == s.home.admission {
			s.home.admission.LeaseGranted(backupName, s.delayed.sent, s.now)
		}
		s.delayed = nil
	}
}

// restart replaces a router by a new process without counts. Its work at the
// engine continues.
func (s *takeoverSim) restart(r *testRouter) {
	s.orphans += len(r.sent)
	*r = *s.start(r.name)
}

func (s *takeoverSim) advance(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		s.heartbeat()
	}
}

// TestTakeoverKeepsCap checks that a home and its backup never exceed an engine's
// cap together, for random sequences of partitions, pauses, restarts and delayed
// messages.
func TestTakeoverKeepsCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTakeoverSim(t)
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				s.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "steps")) * 100 * time.Millisecond)
			},
			"cut":    func(*rapid.T) { s.partitioned = true },
			"mend":   func(*rapid.T) { s.partitioned = false },
			"freeze": func(*rapid.T) { s.pick().paused = true },
			"wake": func(*rapid.T) {
				s.advance(20 * time.Second)
				s.home.paused, s.backup.paused = false, false
			},
			"restart": func(*rapid.T) { s.restart(s.pick()) },
			"orphan":  func(*rapid.T) { s.orphans = max(0, s.orphans-1) },
			"admit":   func(*rapid.T) { s.admit(s.pick()) },
			"fill": func(*rapid.T) {
				for r, i := s.pick(), 0; i < takeoverLimits.EngineRequests; i++ {
					s.admit(r)
					s.send(r)
				}
			},
			"send":    func(*rapid.T) { s.send(s.pick()) },
			"finish":  func(*rapid.T) { s.finish(s.pick()) },
			"report":  func(*rapid.T) { s.report(s.pick()) },
			"sample":  func(*rapid.T) { s.sample(s.pick()) },
			"deliver": func(*rapid.T) { s.deliver(s.pick()) },
			"lease":   func(*rapid.T) { s.advanceDelayedLease() },
			"": func(t *rapid.T) {
				if s.requestsAtEngine() > takeoverLimits.EngineRequests {
					t.Fatalf("%d requests at the engine: home %d, backup %d, orphans %d",
						s.requestsAtEngine(), len(s.home.sent), len(s.backup.sent), s.orphans)
				}
			},
		})
	})
}
