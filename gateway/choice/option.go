package choice

import (
	"cardamompoint.example/cardamompoint/gateway/estimate"
	"cardamompoint.example/cardamompoint/gateway/traffic"
)

// option is a candidate with the values that determine its cost.
type option struct {
	endpoint *traffic.Endpoint
	state    *state
	// load is the estimated number of requests in progress at the endpoint.
	load int
	// newest is the number of this VM's requests there that other VMs don't know of yet.
	newest float64
	// missingTokens is the number of shared tokens that the endpoint is not known to hold.
	missingTokens int
	// rank is the candidate's rank for the last shared part, from 0.
	rank int
	// source holds more of the shared parts, nil if there is none. recomputeTokens is the
	// number of shared tokens left to prefill after the copy.
	source          *traffic.Endpoint
	recomputeTokens int
	// prefillTokens is the number of prompt tokens to prefill, backlogTokens the same
	// together with those of earlier requests, and delayMS the estimated delay until an
	// answer begins.
	prefillTokens int
	backlogTokens int
	delayMS       float64
	// contention is how long work is expected to take on the endpoint's host now, as a multiple of what hosts of the
	// service usually state, at least 1.
	contention float64
	// slowness is how long the endpoint takes as a multiple of what most candidates take, at least 1.
	slowness float64
	// score is the rendezvous score for the last shared part.
	score uint64
	// avoided reports whether the endpoint is being avoided for a while, leaving whether
	// it is about to stop, and excluded whether it gets no new requests.
	avoided  bool
	leaving  bool
	excluded bool
	// warmingUp reports whether the endpoint has just started and got what it can take for now.
	warmingUp bool
	// outcomes are the recent outcomes of all VMs' requests, failure the estimated
	// probability that the next one fails, and failureError its standard error.
	outcomes     estimate.Outcomes
	failure      float64
	failureError float64
	// excess is by how much the candidate clearly fails more often than the best one.
	excess float64
}
