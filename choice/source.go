package choice

import (
	"cmp"
	"slices"
	"time"

	"cardamompoint.example/cardamompoint/traffic"
)

// leastFetch is the number of missing tokens from which a copy is fetched.
const leastFetch = 128

// readSoon is the time after which a part has been read for sure.
const readSoon = 700 * time.Millisecond

// source is an endpoint that parts can be copied from.
type source struct {
	endpoint *traffic.Endpoint
	missing  int
}

// findSources lists the reachable endpoints that hold some of the shared parts
// and have probably read them, those that hold most first.
func (c *chooser) findSources() {
	for _, places := range c.places {
		for _, at := range places {
			known, ok := c.table.states[at.endpoint]
			if !ok || known.endpoint == nil || c.now < known.avoidUntil {
				continue
			}
			if known.reading+known.peersReading > 0 && c.now.Sub(at.since) < readSoon {
				continue
			}
			c.sources = append(c.sources, source{known.endpoint, c.missing(at.endpoint)})
		}
	}
	slices.SortStableFunc(c.sources, func(a, b source) int { return cmp.Compare(a.missing, b.missing) })
}

// fetchFrom returns the endpoint that holds the most of the shared parts, if
// that is more than the chosen one holds.
func (c *chooser) fetchFrom(chosen *option) *traffic.Endpoint {
	for _, from := range c.sources {
		if from.missing > chosen.missing-leastFetch {
			return nil
		}
		if from.endpoint.ID != chosen.endpoint.ID {
			return from.endpoint
		}
	}
	return nil
}
