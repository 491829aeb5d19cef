package choice

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// state is what is known of one endpoint's load and health.
type state struct {
	endpoint *traffic.Endpoint
	// hash is that of the endpoint's ID.
	hash uint64
	// own is this VM's work in progress there, peers is that of the others.
	own   int
	peers int
	// reading and peersReading are the prompt tokens that the endpoint has still
	// to read for this VM and for the others.
	reading      int
	peersReading int
	// told is what the endpoint said last, and sent how much this VM has sent
	// there since.
	told   traffic.Load
	toldAt clock.Boot
	sent   int
	// faults is the smoothed part of the requests that failed.
	faults  float64
	faultAt clock.Boot
	// peerFaults is the worst part that another VM tells.
	peerFaults   float64
	peerFaultsAt clock.Boot
	// silent counts the failures to connect or to answer in a row.
	silent     int
	avoidUntil clock.Boot
	notice     notice
	// lostAt and failingAt are since when the endpoint does not answer, or fails
	// most requests; 0 if it does not.
	lostAt    clock.Boot
	failingAt clock.Boot

	// missing is the number of shared prompt tokens that the endpoint lacks, valid
	// in the choice whose number is marked; sourceOf is the last choice in which
	// it could be copied from.
	missing  int
	marked   uint64
	sourceOf uint64
}

func newState(id string) *state {
	return &state{hash: xxhash.Sum64String(id)}
}

const (
	// toldFor is how long an endpoint's word about its load counts.
	toldFor = 600 * time.Millisecond
	// faultWeight is the weight of the newest outcome.
	faultWeight = 0.2
	// faultHalfLife is the time after which a fault counts half.
	faultHalfLife = 2 * time.Second
	// avoidAfterSilence is how long an endpoint that did not answer gets no
	// requests; it doubles with each silence in a row up to longestAvoid.
	avoidAfterSilence = 400 * time.Millisecond
	longestAvoid      = 3 * time.Second
)

// load estimates the requests in progress at the endpoint.
func (s *state) load(now clock.Boot) int {
	counted := s.own + s.peers
	if s.toldAt != 0 && now.Sub(s.toldAt) <= toldFor {
		return max(counted, s.told.Running+s.told.Waiting+s.sent)
	}
	return counted
}

// faultShare returns the part of recent requests that failed.
func (s *state) faultShare(now clock.Boot) float64 {
	own := decay(s.faults, now.Sub(s.faultAt))
	peers := decay(s.peerFaults, now.Sub(s.peerFaultsAt))
	return max(own, peers)
}

// decay halves a share with each half-life.
func decay(share float64, age time.Duration) float64 {
	if share == 0 || age <= 0 {
		return share
	}
	if age > 8*faultHalfLife {
		return 0
	}
	return share / (1 + float64(age)/float64(faultHalfLife))
}

func (s *state) outcome(failed bool, now clock.Boot) {
	share := decay(s.faults, now.Sub(s.faultAt)) * (1 - faultWeight)
	if failed {
		share += faultWeight
	}
	s.faults, s.faultAt = share, now
}

func (s *state) silence(now clock.Boot) {
	pause := min(avoidAfterSilence<<min(s.silent, 4), longestAvoid)
	s.silent++
	s.avoidUntil = now.Add(pause)
}
