package choice

import (
	"cardamompoint.example/cardamompoint/gateway/traffic"
)

// option is one candidate.
type option struct {
	endpoint *traffic.Endpoint
	state    *state
	load     int
	missing  int
	// position is the candidate's place by rank for the shared parts, from 0.
	position int
	// source holds more of the shared parts, nil if there is none; left are the
	// shared tokens that have to be read after a copy.
	source   *traffic.Endpoint
	left     int
	reading  int
	delayMS  float64
	draw     uint64
	avoided  bool
	leaving  bool
	excluded bool
	faults   float64
}
