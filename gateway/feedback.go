package gateway

import (
	"net/http"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// recordFeedback records the load, the contention, the backoff, the limit and the shutdown that the endpoint
// announces with its response. It ignores responses from another instance at the address, and
// unsealed responses.
func (x *exchange) recordFeedback() {
	if x.info.WrongInstance || x.unsealed() {
		return
	}
	now := clock.Now()
	table := x.gateway.table
	if x.info.HasLoad {
		table.RecordLoad(x.pick.Endpoint.ID, x.info.Load, now)
		table.RecordContention(x.pick.Endpoint, x.info.Load.Contention, now)
	}
	if x.info.Leaving {
		table.RecordLeaving(x.pick.Endpoint, now)
	}
	x.gateway.limits.RecordAnswer(x.pick.Endpoint, x.info.Limit, x.info.HasLimit, x.started, now)
	if x.info.RetryAfter > 0 {
		table.RecordBackoff(x.pick.Endpoint, now.Add(x.info.RetryAfter), now)
	}
}

// unsealed reports whether a success response lacks the endpoint's seal or was modified on the
// way.
func (x *exchange) unsealed() bool {
	return x.info.Status < http.StatusMultipleChoices && (!x.info.Sealed || x.info.BodyEncoded)
}
