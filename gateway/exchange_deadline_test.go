package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/clock/clocktest"
)

// TestSuspectedEndpointLeavesTimeForAnother guards against waiting for a silent endpoint until no other one can answer in time.
func TestSuspectedEndpointLeavesTimeForAnother(t *testing.T) {
	const gap = 400 * time.Millisecond // The progress timeout is 880 ms.
	for name, test := range map[string]struct {
		route   traffic.Route
		timeout time.Duration
		begun   bool
		wanted  time.Duration
	}{
		"much time":      {traffic.Route{Stream: true, Resume: true, MaxEventGap: gap, MaxExecutions: 2}, 10 * time.Second, true, 920 * time.Millisecond},
		"no timeout":     {traffic.Route{Stream: true, Resume: true, MaxEventGap: gap, MaxExecutions: 2}, 0, true, 920 * time.Millisecond},
		"little time":    {traffic.Route{Stream: true, Resume: true, MaxEventGap: gap, MaxExecutions: 2}, 2 * time.Second, true, 500 * time.Millisecond},
		"long pauses":    {traffic.Route{Stream: true, Resume: true, MaxEventGap: time.Second, MaxExecutions: 2}, 10 * time.Second, true, 0},
		"not resumable":  {traffic.Route{Stream: true, MaxEventGap: gap, MaxExecutions: 2}, 10 * time.Second, true, 0},
		"nothing begun":  {traffic.Route{Stream: true, Resume: true, MaxEventGap: gap, MaxExecutions: 2}, 10 * time.Second, false, 0},
		"other response": {traffic.Route{MaxExecutions: 2}, 10 * time.Second, true, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			clocktest.UseVirtualTime(t)
			c := &call{arrived: clock.Now(), timeout: test.timeout, headerSent: test.begun, grant: grant{route: &test.route}}
			if test.begun {
				c.events = 1
			}
			time.Sleep(time.Second)
			if got := (&exchange{call: c}).patience(); got != test.wanted {
				t.Errorf("%s: stays for %v, want %v", name, got, test.wanted)
			}
		})
	}
}
