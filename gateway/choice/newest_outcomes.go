package choice

import (
	"time"

	"cardamompoint.example/cardamompoint/gateway/estimate"
	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// newestHalfLife is the time after which an outcome counts half among the newest ones.
	newestHalfLife = 150 * time.Millisecond
	// lastingTrouble is the share of failed requests among the newest ones from which the trouble of a
	// service lasts.
	lastingTrouble = 0.2
)

// newestOutcomes counts this VM's newest requests to a service. The zero value counts none.
type newestOutcomes struct {
	failed float64
	total  float64
	at     clock.Boot
}

// record counts one request.
func (n *newestOutcomes) record(failed bool, now clock.Boot) {
	factor := estimate.Decay(now.Sub(n.at), newestHalfLife)
	n.failed, n.total, n.at = n.failed*factor, n.total*factor+1, max(n.at, now)
	if failed {
		n.failed++
	}
}

// troubled reports whether many of the newest requests failed. Few of them count as trouble that is
// over, since a request stands against them that was served.
func (n *newestOutcomes) troubled(now clock.Boot) bool {
	factor := estimate.Decay(now.Sub(n.at), newestHalfLife)
	return n.failed*factor >= lastingTrouble*(n.total*factor+1)
}
