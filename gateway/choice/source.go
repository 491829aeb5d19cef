package choice

import (
	"cmp"
	"slices"
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
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

// addSource lists the endpoint of a place if it can be reached and has probably
// read the part.
func (c *chooser) addSource(known *state, at *place) {
	if known.sourceOf == c.table.serial || known.endpoint == nil || c.now < known.avoidUntil {
		return
	}
	if known.reading+known.peersReading > 0 && c.now.Sub(at.since) < readSoon {
		return
	}
	known.sourceOf = c.table.serial
	c.sources = append(c.sources, source{known.endpoint, known.missing})
}

// sortSources puts those first that hold most.
func (c *chooser) sortSources() {
	slices.SortStableFunc(c.sources, func(a, b source) int { return cmp.Compare(a.missing, b.missing) })
}

// fetchFrom returns the endpoint that holds the most of the shared parts, if
// that is more than the chosen one holds.
func (c *chooser) fetchFrom(chosen *option) *source {
	for i := range c.sources {
		from := &c.sources[i]
		if from.missing > chosen.missing-leastFetch {
			return nil
		}
		if from.endpoint.ID != chosen.endpoint.ID {
			return from
		}
	}
	return nil
}

// guessSource lets parts that are not known to be anywhere be copied from where
// they probably are, unless that would forgo a larger copy from a known place. A
// copy that finds nothing costs little.
func (c *chooser) guessSource(chosen *option) {
	if c.likely == nil || c.likely.endpoint.ID == chosen.endpoint.ID {
		return
	}
	parts := c.sharedParts()
	last := parts[len(parts)-1].Tokens
	if last >= leastFetch && last > chosen.missing-chosen.left {
		chosen.source = c.likely.endpoint
	}
}
