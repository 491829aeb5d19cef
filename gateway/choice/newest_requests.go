package choice

import (
	"time"

	"cardamompoint.example/cardamompoint/gateway/estimate"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// reportDelay is the mean time until other VMs know of a request: half a period of reports and
// the way of the report.
const reportDelay = 150 * time.Millisecond

// newestRequests counts the requests of one VM that others don't know of yet: those of about one
// reportDelay. The zero value counts none.
type newestRequests struct {
	count float64
	at    clock.Boot
}

// asOf returns the count as of a time.
func (n newestRequests) asOf(now clock.Boot) float64 {
	if n.count == 0 {
		return 0
	}
	return n.count * estimate.Decay(now.Sub(n.at), reportDelay)
}

// add counts a request.
func (n *newestRequests) add(now clock.Boot) {
	n.count, n.at = n.asOf(now)+1, now
}
