package balance

import (
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/code"
)

// Admission decides whether a router may send work to an engine: it joins the
// router's rights with its counts under one lock, so that a backup can't
// promise a lease between its own check and its own reservation. It is safe
// for concurrent use.
type Admission struct {
	ledger *LoadTracker

	mu     sync.Mutex
	lease  *Lease
	grants *LeaseGrants
}

// NewAdmission returns an Admission. The lease's duration and margin must be
// the same in the whole fleet.
func NewAdmission(ledger *LoadTracker, duration, margin time.Duration, started time.Time) *Admission {
	return &Admission{
		ledger: ledger,
		lease:  NewLease(duration, margin),
		grants: NewLeaseGrants(duration, started),
	}
}

// Admit holds room for request. Errors prove that nothing was sent and carry
// code.NotHome, code.EndpointFull, code.EndpointLeaving or code.WorkspaceShare.
func (a *Admission) Admit(request Request, standing Assignment, now time.Time) (*Reservation, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	rights, err := a.rights(standing, now)
	if err != nil {
		return nil, err
	}
	return a.ledger.reserve(request, rights, now)
}

// Confirm checks at the last moment before work is sent that the rights at now
// still cover the reservation. An error carries code.NotHome or
// code.EndpointFull; the caller must release the reservation and not send.
func (a *Admission) Confirm(reservation *Reservation, standing Assignment, now time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	rights, err := a.rights(standing, now)
	if err != nil {
		return err
	}
	if !a.ledger.covered(reservation.request.Engine, rights, now) {
		return code.New(code.EndpointFull, "the right to the engine has shrunk").After(retryRight)
	}
	return nil
}

// Promise answers a home that asks for a lease: from now on this router does
// not act for it. The answer is false while work that this router admitted for
// the home's engines, which manages reports, is in progress.
func (a *Admission) GrantLease(home string, manages func(engine string) bool, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.grants.Grant(home, now)
	return !a.ledger.busy(manages)
}

// Released takes in that home admits no more work until it asks again.
func (a *Admission) LeaseReleased(home string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.grants.Release(home, now)
}

// Granted takes in a promise of backup to this router.
func (a *Admission) LeaseGranted(backup string, sent, answered time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lease.Renew(backup, sent, answered)
}

// Drop gives this router's lease up.
func (a *Admission) DropLease() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lease.Drop()
}

// DropBefore gives this router's lease up if it was last asked for before the
// given time.
func (a *Admission) DropLeaseBefore(limit time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lease.DropBefore(limit)
}

// Leased reports whether this router holds its lease at now.
func (a *Admission) HoldsLease(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, held := a.lease.Held(now)
	return held
}
