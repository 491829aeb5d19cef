package budget

import (
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// allowanceUtilization is the share of the allowance that a VM uses which has counted for a
	// whole window.
	allowanceUtilization = 0.8
	// startUtilization is the same for a VM that has not: a process that ran before on this VM may
	// have used allowanceUtilization within the same window.
	startUtilization = 1 - allowanceUtilization
	// assumedFleetSize is the least number of VMs assumed by a VM that has heard of no other, or
	// has not counted for a whole window.
	assumedFleetSize = 16
)

// Budget is this VM's retry budget for each service. It is safe for concurrent use.
type Budget struct {
	// limits returns the limits in force.
	limits func() Limits
	// members returns the number of VMs that share the allowance, and whether it is known.
	members func() (count int, known bool)
	// since is when this VM began to count. Retries before that are not known.
	since clock.Boot

	mu       sync.Mutex
	services map[string]*account
}

// account counts the requests and retries to one service.
type account struct {
	requests *window
	retries  *window
}

// Limits bound the retries to one service.
type Limits struct {
	// Ratio is the number of retries that each request earns.
	Ratio float64
	// Slack is the number of retries per window allowed in addition, for all VMs together.
	Slack float64
	// Window is the length of the sliding window in which requests and retries are counted.
	Window time.Duration
}

// New returns a Budget that counts from since on; retries before that may have used up the
// allowance. limits and members are called for each
// decision and must be safe for concurrent use. A changed Window applies only to services used
// for the first time after the change.
func New(limits func() Limits, members func() (int, bool), since clock.Boot) *Budget {
	return &Budget{limits: limits, members: members, since: since, services: map[string]*account{}}
}

// RecordRequest counts a request for a service, which earns Ratio retries.
func (b *Budget) RecordRequest(service string, now clock.Boot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(service).requests.add(now, 1)
}

// Take reports whether a request may be retried now and, if so, counts the retry.
func (b *Budget) Take(service string, now clock.Boot) bool {
	vms := b.FleetSize()
	b.mu.Lock()
	defer b.mu.Unlock()
	account := b.account(service)
	if b.remaining(account, vms, now) < 1 {
		return false
	}
	account.retries.add(now, 1)
	return true
}

// Allows reports whether a request may be retried now, without counting a retry.
func (b *Budget) Allows(service string, now clock.Boot) bool {
	return b.Remaining(service, now) >= 1
}

// Remaining returns how many retries are allowed now. It may be negative.
func (b *Budget) Remaining(service string, now clock.Boot) float64 {
	vms := b.FleetSize()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remaining(b.account(service), vms, now)
}

// remaining returns how many retries an account allows now, if vms share the fixed allowance.
// The caller holds b.mu.
func (b *Budget) remaining(account *account, vms int, now clock.Boot) float64 {
	return b.allowed(account, vms, now) - account.retries.sum(now)
}

// allowed returns how many retries the window that ends now allows, if vms share the fixed
// allowance. The caller holds b.mu.
func (b *Budget) allowed(account *account, vms int, now clock.Boot) float64 {
	limits := b.limits()
	earned := limits.Ratio * account.requests.mean(now)
	history := now.Sub(b.since)
	if history >= limits.Window {
		return allowanceUtilization * (earned + limits.Slack/float64(vms))
	}
	fixed := limits.Slack / float64(max(vms, assumedFleetSize)) * history.Seconds() / limits.Window.Seconds()
	return startUtilization * (earned + fixed)
}

// FleetSize returns the number of VMs that share the fixed allowance, at least 1.
func (b *Budget) FleetSize() int {
	count, known := b.members()
	if !known {
		count = max(count, assumedFleetSize)
	}
	return max(1, count)
}

// account returns the account of a service and creates it if necessary. The caller holds
// b.mu.
func (b *Budget) account(service string) *account {
	found, ok := b.services[service]
	if !ok {
		found = &account{requests: newWindow(b.limits().Window), retries: newWindow(b.limits().Window)}
		b.services[service] = found
	}
	return found
}
