package choice

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamompoint.example/cardamompoint/gateway/contention"
	"cardamompoint.example/cardamompoint/gateway/estimate"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// state is the load and health of one endpoint as this VM knows them.
type state struct {
	endpoint *traffic.Endpoint
	// hash is the hash of the endpoint's ID.
	hash uint64
	// ownRequests is the number of this VM's requests in progress there, peerRequests
	// that of the other VMs.
	ownRequests  int
	peerRequests int
	// prefillTokens and peerPrefillTokens are the prompt tokens that the endpoint has
	// still to prefill for this VM and for the others.
	prefillTokens     int
	peerPrefillTokens int
	// newest are this VM's newest requests.
	newest newestRequests
	// reportedLoad is the load that the endpoint reported last, at reportedAt.
	// sentSinceReport is the number of requests that this VM has sent there since.
	reportedLoad    traffic.Load
	reportedAt      clock.Boot
	sentSinceReport int
	// outcomes are those of all VMs' recent requests, ownOutcomes those of this VM's.
	outcomes    estimate.Outcomes
	ownOutcomes estimate.Outcomes
	// failureShare is the smoothed share of this VM's requests that failed, as of
	// failureShareAt. Only the log depends on it.
	failureShare   float64
	failureShareAt clock.Boot
	// unreachableCount is the number of consecutive failures to connect or to answer.
	unreachableCount int
	// avoidUntil is the time until which the endpoint is avoided, after such failures or a
	// call of Avoid.
	avoidUntil clock.Boot
	// notice is what the endpoint's instance has announced.
	notice notice
	// contention is what the instance stated last about its host.
	contention contention.Statement
	// warmUp is the endpoint's phase after its start.
	warmUp warmUp
	// lostAt is when the endpoint stopped answering, failingAt when it began to fail most
	// requests; 0 if it answers or serves most requests.
	lostAt    clock.Boot
	failingAt clock.Boot

	// missingTokens is the number of shared prompt tokens that the endpoint lacks. It is
	// valid only in the choice with the number missingSerial. sourceSerial is the number
	// of the last choice in which the endpoint was added as a copy source.
	missingTokens int
	missingSerial uint64
	sourceSerial  uint64
}

// newState returns the state of an endpoint of which only the ID is known.
func newState(id string) *state {
	return &state{hash: xxhash.Sum64String(id)}
}

const (
	// reportedLoadTTL is how long a load that an endpoint reported counts.
	reportedLoadTTL = 600 * time.Millisecond
	// newestOutcomeWeight is the weight of the newest outcome in failureShare.
	newestOutcomeWeight = 0.2
	// failureHalfLife is the time after which a failure counts half.
	failureHalfLife = 2 * time.Second
	// initialAvoidance is how long an endpoint that did not answer is avoided. It doubles
	// with each consecutive failure, up to maxAvoidance.
	initialAvoidance = 400 * time.Millisecond
	maxAvoidance     = 3 * time.Second
)

// load returns the estimated number of requests in progress at the endpoint: those that
// VMs count, or more if the endpoint reported more lately.
func (s *state) load(now clock.Boot) int {
	counted := s.ownRequests + s.peerRequests
	if s.reportedAt != 0 && now.Sub(s.reportedAt) <= reportedLoadTTL {
		return max(counted, s.reportedLoad.Running+s.reportedLoad.Waiting+s.sentSinceReport)
	}
	return counted
}

// decay returns what is left of a share at the given age: share/(1+age/failureHalfLife),
// so half after one failureHalfLife, and 0 after eight.
func decay(share float64, age time.Duration) float64 {
	if share == 0 || age <= 0 {
		return share
	}
	if age > 8*failureHalfLife {
		return 0
	}
	return share / (1 + float64(age)/float64(failureHalfLife))
}

// recordOutcome counts the outcome of one request.
func (s *state) recordOutcome(failed bool, now clock.Boot) {
	s.outcomes.Record(failed, now)
	s.ownOutcomes.Record(failed, now)
	share := decay(s.failureShare, now.Sub(s.failureShareAt)) * (1 - newestOutcomeWeight)
	if failed {
		share += newestOutcomeWeight
	}
	s.failureShare, s.failureShareAt = share, now
}

// recordUnreachable counts a failure to connect or to answer and avoids the endpoint for
// a while, longer with each consecutive failure.
func (s *state) recordUnreachable(now clock.Boot) {
	pause := min(initialAvoidance<<min(s.unreachableCount, 4), maxAvoidance)
	s.unreachableCount++
	s.avoidUntil = now.Add(pause)
}

// hasReportableOutcomes reports whether the endpoint had enough of this VM's recent requests to report their outcomes.
func (s *state) hasReportableOutcomes(now clock.Boot) bool {
	return !s.ownOutcomes.Faded(now) && s.ownOutcomes.AsOf(now).Total() >= minReportedOutcomes
}
