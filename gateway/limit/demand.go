package limit

import (
	"time"

	"cardamompoint.example/cardamompoint/gateway/estimate"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// demandHalfLife is the time after which a request counts half in a demand.
const demandHalfLife = 2 * time.Second

// demand is the smoothed number of requests, as of at.
type demand struct {
	requests float64
	at       clock.Boot
}

// record counts one request.
func (d *demand) record(now clock.Boot) {
	d.requests = d.asOf(now) + 1
	d.at = now
}

// asOf returns the smoothed number of requests at a time.
func (d *demand) asOf(now clock.Boot) float64 {
	return d.requests * estimate.Decay(now.Sub(d.at), demandHalfLife)
}
