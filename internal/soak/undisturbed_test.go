package soak

import (
	"testing"
	"time"
)

// Time limits, as in the settings that package hosted writes.
const (
	// stablePeriod is the time without faults after which a VM counts as undisturbed.
	stablePeriod   = 3 * time.Second
	maxConfigDelay = 2 * time.Second
)

// allVMs is the gateway of a faultPeriod that affects all VMs.
const allVMs = -1

// faultPeriod is a period in which a fault affected one VM or all of them.
type faultPeriod struct {
	gateway  int
	from, to time.Time
	what     string
}

// isUndisturbed reports whether no fault affected a VM between from and to, nor in the
// stablePeriod before. Only then must the VM keep the time limits.
func isUndisturbed(faults []faultPeriod, gateway int, from, to time.Time) bool {
	for _, fault := range faults {
		if !fault.affects(gateway) {
			continue
		}
		if fault.from.Before(to) && fault.to.Add(stablePeriod).After(from) {
			return false
		}
	}
	return true
}

// undisturbedTime returns for how long a VM was undisturbed between from and to, in steps of
// 50 ms.
func undisturbedTime(faults []faultPeriod, gateway int, from, to time.Time) time.Duration {
	const step = 50 * time.Millisecond
	var total time.Duration
	for at := from; at.Before(to); at = at.Add(step) {
		if isUndisturbed(faults, gateway, at, at.Add(step)) {
			total += step
		}
	}
	return total
}

func (p *faultPeriod) affects(gateway int) bool {
	return p.gateway == allVMs || p.gateway == gateway
}

// TestUndisturbed places a fault before, in and after one second of VM 0.
func TestUndisturbed(t *testing.T) {
	start := time.Now()
	from, to := start.Add(time.Minute), start.Add(time.Minute+time.Second)
	second := time.Second
	for name, test := range map[string]struct {
		fault faultPeriod
		want  bool
	}{
		"no fault":                        {faultPeriod{gateway: 0, from: start, to: start}, true},
		"ended a stable period before":    {faultPeriod{gateway: 0, from: start, to: from.Add(-stablePeriod)}, true},
		"ended within the stable period":  {faultPeriod{gateway: 0, from: start, to: from.Add(-stablePeriod + 1)}, false},
		"within the second":               {faultPeriod{gateway: 0, from: from.Add(second / 4), to: from.Add(second / 2)}, false},
		"throughout":                      {faultPeriod{gateway: 0, from: start, to: to.Add(second)}, false},
		"after the second":                {faultPeriod{gateway: 0, from: to, to: to.Add(second)}, true},
		"of another VM":                   {faultPeriod{gateway: 1, from: from, to: to}, true},
		"of all VMs":                      {faultPeriod{gateway: allVMs, from: from, to: to}, false},
		"of all VMs in the stable period": {faultPeriod{gateway: allVMs, from: start, to: from.Add(-second)}, false},
		"an instant in the stable period": {faultPeriod{gateway: 0, from: from.Add(-second), to: from.Add(-second)}, false},
	} {
		if got := isUndisturbed([]faultPeriod{test.fault}, 0, from, to); got != test.want {
			t.Errorf("%s: undisturbed is %v", name, got)
		}
	}
}

func TestUndisturbedTime(t *testing.T) {
	start := time.Now()
	faults := []faultPeriod{
		{gateway: 0, from: start, to: start.Add(time.Second)},
		{gateway: allVMs, from: start.Add(2 * time.Second), to: start.Add(2 * time.Second)},
	}
	if got := undisturbedTime(faults, 0, start, start.Add(8*time.Second)); got != 3*time.Second {
		t.Errorf("VM 0 was undisturbed for %v, want 3s", got)
	}
	if got := undisturbedTime(faults, 1, start, start.Add(8*time.Second)); got != 5*time.Second {
		t.Errorf("VM 1 was undisturbed for %v, want 5s", got)
	}
}
