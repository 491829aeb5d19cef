package budget

import (
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// allowanceUtilization is the share of the allowance that is used. The rest covers
	// requests that are counted at the edge of a window.
	allowanceUtilization = 0.8
	// assumedFleetSize is the least number of VMs assumed while the number is not known.
	assumedFleetSize = 16
)

// Budget is this VM's retry budget for each service. It is safe for concurrent use.
type Budget struct {
	// limits returns the limits in force.
	limits func() Limits
	// members returns the number of VMs that share the allowance, and whether it is known.
	members func() (count int, known bool)

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

// New returns a Budget. limits and members are called for each decision and must be safe
// for concurrent use. A changed Window applies only to services used for the first time
// after the change.
func New(limits func() Limits, members func() (int, bool)) *Budget {
	return &Budget{limits: limits, members: members, services: map[string]*account{}}
}

// RecordRequest counts a request for a service, which earns Ratio retries.
func (b *Budget) RecordRequest(service string, now clock.Boot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(service).requests.add(now, 1)
}

// Take reports whether a request may be retried now and, if so, counts the retry.
func (b *Budget) Take(service string, now clock.Boot) bool {
	allowed := b.allowance()
	b.mu.Lock()
	defer b.mu.Unlock()
	account := b.account(service)
	if b.remaining(account, allowed, now) < 1 {
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
	allowed := b.allowance()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remaining(b.account(service), allowed, now)
}

// remaining returns how many retries an account allows, given this VM's part of the fixed
// allowance. The caller holds b.mu.
func (b *Budget) remaining(account *account, allowed float64, now clock.Boot) float64 {
	earned := b.limits().Ratio * account.requests.sum(now)
	return allowanceUtilization*(earned+allowed) - account.retries.sum(now)
}

// allowance returns this VM's part of the fixed allowance, in retries per window.
func (b *Budget) allowance() float64 {
	count, known := b.members()
	if !known {
		count = max(count, assumedFleetSize)
	}
	return b.limits().Slack / float64(max(1, count))
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
