package gateway

import (
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// firstConfigurationWait is the time since the start of a VM within which requests wait for
	// its first configuration, which usually arrives before a refused caller could return.
	firstConfigurationWait = 250 * time.Millisecond
	// firstConfigurationPoll is the interval between two checks.
	firstConfigurationPoll = 5 * time.Millisecond
)

// awaitConfiguration delays a request that arrives just after the start of the VM until a
// configuration is known. It returns at once if the VM has been without one for longer, as the
// store is then probably unavailable.
func (c *call) awaitConfiguration() {
	for c.gateway.tracker.Snapshot().Configuration == nil && c.r.Context().Err() == nil {
		if clock.Now().Sub(c.gateway.started) >= firstConfigurationWait {
			return
		}
		clock.Sleep(c.r.Context(), firstConfigurationPoll)
	}
}
