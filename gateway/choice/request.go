package choice

import (
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
)

// Request describes a request for which an endpoint is chosen.
type Request struct {
	Prompt *traffic.Prompt
	// Objective is the time-to-first-token objective, or that of the whole answer of a
	// plain service; 0 if there is none.
	Objective time.Duration
	// Once reports whether the request can't be sent to another endpoint once this one may
	// have run it.
	Once bool
	// AllowsSource reports whether prompt parts may be copied from an endpoint; nil allows all.
	AllowsSource func(*traffic.Endpoint) bool
}
