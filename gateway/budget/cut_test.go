package budget

import (
	"fmt"
	"testing"
	"time"
)

// TestCutsDoNotEnlargeTheRetryBudget plays fleets of which a part is cut off from all others while all
// requests fail.
func TestCutsDoNotEnlargeTheRetryBudget(t *testing.T) {
	const second, most = time.Second, 0.6
	cases := map[string]fleetOptions{
		"once":                  {disturbances: []disturbance{{at: 14 * second, share: most, cut: 12 * second}}},
		"twice":                 {disturbances: []disturbance{{at: 14 * second, share: most, cut: 5 * second}, {at: 22 * second, share: most, cut: 5 * second}}},
		"for long":              {disturbances: []disturbance{{at: 14 * second, share: most, cut: 90 * second}}, failUntil: 100 * second},
		"after a restart":       {disturbances: []disturbance{{at: 12 * second, share: 1}, {at: 15 * second, share: most, cut: 12 * second}}},
		"beside a loss in five": {disturbances: []disturbance{{at: 14 * second, share: most, cut: 12 * second}}, loss: 0.2},
	}
	for name, options := range cases {
		for _, vms := range []int{7, 40} {
			t.Run(fmt.Sprintf("%s, %d VMs", name, vms), func(t *testing.T) {
				options := options
				options.vms, options.rate, options.reports, options.failFrom = vms, 3*float64(vms), true, 12*second
				options.failUntil = max(options.failUntil, 32*second)
				playFailures(t, options)
			})
		}
	}
}
