package budget

import (
	"fmt"
	"testing"
	"time"
)

// restarts returns disturbances in which a share of the VMs starts anew at each of the times.
func restarts(share float64, times ...time.Duration) []disturbance {
	var all []disturbance
	for _, at := range times {
		all = append(all, disturbance{at: at, share: share})
	}
	return all
}

// TestRestartsDoNotRenewTheRetryBudget plays fleets in which VMs start anew while all requests fail.
func TestRestartsDoNotRenewTheRetryBudget(t *testing.T) {
	const second, all, third = time.Second, 1.0, 1.0 / 3
	cases := []struct {
		name string
		vms  []int
		fleetOptions
	}{
		{"all, four times", []int{7, 60, 300}, fleetOptions{failFrom: 12 * second, disturbances: restarts(all, 14*second, 17*second, 20*second, 23*second)}},
		{"all, once", []int{7, 60}, fleetOptions{failFrom: 12 * second, disturbances: restarts(all, 17*second)}},
		{"all, in a burst", []int{7, 60}, fleetOptions{failFrom: 16900 * time.Millisecond, disturbances: restarts(all, 17*second, 22*second)}},
		{"a third, four times", []int{7, 60, 300}, fleetOptions{failFrom: 12 * second, disturbances: restarts(third, 14*second, 16*second, 18*second, 20*second)}},
		{"a third, lossy", []int{7, 40}, fleetOptions{failFrom: 12 * second, disturbances: restarts(third, 14*second, 17*second, 20*second), reports: true, loss: 0.3}},
		{"before the failures", []int{7, 60}, fleetOptions{failFrom: 12 * second, disturbances: restarts(all, 11*second)}},
	}
	for _, one := range cases {
		for _, vms := range one.vms {
			t.Run(fmt.Sprintf("%s, %d VMs", one.name, vms), func(t *testing.T) {
				options := one.fleetOptions
				options.vms, options.rate, options.failUntil = vms, 20*float64(vms), 32*second
				playFailures(t, options)
			})
		}
	}
}

// playFailures plays a fleet with several seeds and checks the bound.
func playFailures(t *testing.T, options fleetOptions) {
	t.Helper()
	seeds := uint64(3)
	if options.vms > 100 {
		seeds = 1
	}
	for seed := range seeds {
		options.seed = seed
		f := newEmulatedFleet(options)
		f.run(options.failUntil + 3*time.Second)
		if excess := f.worstExcess(); excess > 0 {
			t.Errorf("seed %d: %.1f retries too many", seed, excess)
		}
	}
}
