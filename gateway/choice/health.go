package choice

import (
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// healthChange is a transition between the health states of an endpoint.
type healthChange int

const (
	healthSame healthChange = iota
	// healthLost means that the endpoint could not be reached or did not answer.
	healthLost
	// healthRegained means that it answers again.
	healthRegained
	// healthFailing means that it fails most requests.
	healthFailing
	// healthServing means that it serves most requests again.
	healthServing
)

const (
	// An endpoint is failing once its share of failed requests reaches
	// failingThreshold, and serving again once the share is below servingThreshold. The
	// gap between them keeps it from alternating.
	failingThreshold = 0.5
	servingThreshold = 0.25
)

// healthTransition returns how the endpoint's health has changed since the last call
// and, on recovery, how long it was lost or failing.
func (s *state) healthTransition(now clock.Boot) (change healthChange, lasted time.Duration) {
	share := decay(s.failureShare, now.Sub(s.failureShareAt))
	switch {
	case s.unreachableCount > 0 && s.lostAt == 0:
		s.lostAt = now
		return healthLost, 0
	case s.unreachableCount == 0 && s.lostAt != 0:
		lasted, s.lostAt = now.Sub(s.lostAt), 0
		return healthRegained, lasted
	case share >= failingThreshold && s.failingAt == 0:
		s.failingAt = now
		return healthFailing, 0
	case share < servingThreshold && s.failingAt != 0:
		lasted, s.failingAt = now.Sub(s.failingAt), 0
		return healthServing, lasted
	default:
		return healthSame, 0
	}
}

// log writes one log line for a change and none for healthSame.
func (h healthChange) log(endpoint, reason string, lasted time.Duration) {
	switch h {
	case healthLost:
		klog.InfoS("endpoint: does not answer", "endpoint", endpoint, "reason", reason)
	case healthRegained:
		klog.InfoS("endpoint: answers again", "endpoint", endpoint, "lost_ms", lasted.Milliseconds())
	case healthFailing:
		klog.InfoS("endpoint: fails most requests", "endpoint", endpoint)
	case healthServing:
		klog.InfoS("endpoint: serves most requests again", "endpoint", endpoint, "failed_ms", lasted.Milliseconds())
	}
}
