package budget

import (
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// caution is the used part of the allowance. The rest covers requests that
	// are counted at the edge of a window.
	caution = 0.8
	// unknownFleet is the assumed number of VMs while no other one was heard.
	unknownFleet = 16
)

// Budget is this VM's part of the allowance. It is safe for concurrent use.
type Budget struct {
	// limits returns the limits in force.
	limits func() Limits
	// members returns the number of VMs that share the allowance and whether
	// the number is known.
	members func() (count int, known bool)

	mu       sync.Mutex
	services map[string]*account
}

// account counts the sends of one service.
type account struct {
	first *window
	again *window
}

// Limits bound the sends beyond the first one of each request to one service.
type Limits struct {
	// Ratio is the part of the requests that may be sent again.
	Ratio float64
	// Slack is the number of sends allowed besides, over all VMs.
	Slack float64
	// Window is the time in which sends are counted.
	Window time.Duration
}

// New returns a Budget. limits and members are called with each decision; a
// changed Window holds for services that were not used before.
func New(limits func() Limits, members func() (int, bool)) *Budget {
	return &Budget{limits: limits, members: members, services: map[string]*account{}}
}

// First counts a request for a service.
func (b *Budget) RecordRequest(service string, now clock.Boot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(service).first.add(now, 1)
}

// Take reports whether a request may be sent once more, and counts it.
func (b *Budget) Take(service string, now clock.Boot) bool {
	allowed := b.allowance()
	b.mu.Lock()
	defer b.mu.Unlock()
	account := b.account(service)
	if b.left(account, allowed, now) < 1 {
		return false
	}
	account.again.add(now, 1)
	return true
}

// Left returns how many further sends are allowed now.
func (b *Budget) Remaining(service string, now clock.Boot) float64 {
	allowed := b.allowance()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left(b.account(service), allowed, now)
}

// left returns how many further sends an account allows. The caller holds the
// lock.
func (b *Budget) left(account *account, allowed float64, now clock.Boot) float64 {
	earned := b.limits().Ratio * account.first.sum(now)
	return caution*(earned+allowed) - account.again.sum(now)
}

// allowance returns this VM's part of the fixed allowance.
func (b *Budget) allowance() float64 {
	count, known := b.members()
	if !known {
		count = max(count, unknownFleet)
	}
	return b.limits().Slack / float64(max(1, count))
}

func (b *Budget) account(service string) *account {
	found, ok := b.services[service]
	if !ok {
		found = &account{first: newWindow(b.limits().Window), again: newWindow(b.limits().Window)}
		b.services[service] = found
	}
	return found
}
