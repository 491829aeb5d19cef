package balance

import (
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/code"
)

// Admission decides whether a router may send work to an engine. It evaluates
// the router's allowances and its load counts under one lock, so that a backup
// can't grant a lease between checking its allowance and reserving capacity. It
// is safe for concurrent use.
type Admission struct {
	tracker *LoadTracker

	mu     sync.Mutex
	lease  *Lease
	grants *LeaseGrants
}

// NewAdmission returns an Admission for a process that started at the given
// time. The lease's duration and margin must be the same on all routers.
func NewAdmission(tracker *LoadTracker, duration, margin time.Duration, started time.Time) *Admission {
	return &Admission{
		tracker: tracker,
		lease:   NewLease(duration, margin),
		grants:  NewLeaseGrants(duration, started),
	}
}

// Admit reserves capacity for request. Errors prove that nothing was sent and
// carry code.NotHome, code.ViewStale, code.EndpointFull, code.EndpointLeaving
// or code.WorkspaceShare.
func (a *Admission) Admit(request Request, assignment Assignment, now time.Time) (*Reservation, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	allowances, err := a.allowances(assignment, now)
	if err != nil {
		return nil, err
	}
	return a.tracker.reserve(request, allowances, now)
}

// Confirm checks, immediately before work is sent, that the allowances at now
// still cover the reservation. An error carries code.NotHome or
// code.EndpointFull; the caller must then release the reservation without
// sending.
func (a *Admission) Confirm(reservation *Reservation, assignment Assignment, now time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	allowances, err := a.allowances(assignment, now)
	if err != nil {
		return err
	}
	if !a.tracker.covers(reservation.request.Engine, allowances, now) {
		return code.New(code.EndpointFull, "the router's allowance for the engine has shrunk").After(allowanceRetryAfter)
	}
	return nil
}

// GrantLease handles a home's lease request: from now on this router does not
// admit work in the home's place, until the lease expires or the home releases
// it. It returns false while work that this router admitted is in progress at any
// of the home's engines; manages reports whether an engine is one of them.
func (a *Admission) GrantLease(home string, manages func(engine string) bool, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.grants.Grant(home, now)
	return !a.tracker.hasWork(manages)
}

// LeaseReleased records that home admits no more work until it requests a lease
// again.
func (a *Admission) LeaseReleased(home string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.grants.Release(home, now)
}

// LeaseGranted records that backup granted a lease to this router. sent and
// answered are the times of the request and of its answer.
func (a *Admission) LeaseGranted(backup string, sent, answered time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lease.Renew(backup, sent, answered)
}

// DropLease gives up this router's lease.
func (a *Admission) DropLease() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lease.Drop()
}

// DropLeaseBefore gives up this router's lease if its last request was sent
// before limit.
func (a *Admission) DropLeaseBefore(limit time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lease.DropBefore(limit)
}

// HoldsLease reports whether this router holds its lease at now.
func (a *Admission) HoldsLease(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, held := a.lease.Held(now)
	return held
}
