package budget

import (
	"fmt"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// Status is the state of one service's budget at one VM.
type Status struct {
	// Requests and Retries are counted within the window that ends now.
	Requests float64 `json:"requests"`
	Retries  float64 `json:"retries"`
	// Allowed is the number of retries that this window allows.
	Allowed float64 `json:"allowed"`
	// VMs is the number of VMs that share the fixed allowance.
	VMs int `json:"vms"`
	// HistoryMS is for how long this VM has counted, in milliseconds.
	HistoryMS int64 `json:"history_ms"`
}

// String returns the status in the form of log lines.
func (s Status) String() string {
	return fmt.Sprintf("%.0f of %.1f retries, %.0f requests, %d VMs, %d ms", s.Retries, s.Allowed, s.Requests, s.VMs, s.HistoryMS)
}

// Status returns the state of a service's budget.
func (b *Budget) Status(service string, now clock.Boot) Status {
	vms := b.FleetSize()
	b.mu.Lock()
	defer b.mu.Unlock()
	account := b.account(service)
	return Status{
		Requests:  account.requests.mean(now),
		Retries:   account.retries.sum(now),
		Allowed:   b.allowed(account, vms, now),
		VMs:       vms,
		HistoryMS: now.Sub(b.since).Milliseconds(),
	}
}
