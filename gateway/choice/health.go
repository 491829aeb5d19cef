package choice

import (
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// healthChange is a change of what is believed of one endpoint's health.
type healthChange int

const (
	healthSame healthChange = iota
	// healthLost: the endpoint could not be reached or did not answer.
	healthLost
	// healthRegained: it answers again.
	healthRegained
	// healthFailing: it fails most requests.
	healthFailing
	// healthServing: it serves most requests again.
	healthServing
)

const (
	// failingFrom is the part of failed requests from which an endpoint counts as
	// failing, and servingBelow the part below which it serves again.
	failingFrom  = 0.5
	servingBelow = 0.25
)

// turn returns how the endpoint's health has changed since the last call, and
// how long the state that has ended lasted.
func (s *state) turn(now clock.Boot) (change healthChange, lasted time.Duration) {
	share := decay(s.faults, now.Sub(s.faultAt))
	switch {
	case s.silent > 0 && s.lostAt == 0:
		s.lostAt = now
		return healthLost, 0
	case s.silent == 0 && s.lostAt != 0:
		lasted, s.lostAt = now.Sub(s.lostAt), 0
		return healthRegained, lasted
	case share >= failingFrom && s.failingAt == 0:
		s.failingAt = now
		return healthFailing, 0
	case share < servingBelow && s.failingAt != 0:
		lasted, s.failingAt = now.Sub(s.failingAt), 0
		return healthServing, lasted
	default:
		return healthSame, 0
	}
}

// log writes one line for a change.
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
