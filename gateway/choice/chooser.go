package choice

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// newChooser begins a choice. The caller holds the lock until its end.
func (t *Table) newChooser(prompt *traffic.Prompt, objective time.Duration, now clock.Boot) *chooser {
	t.serial++
	return &chooser{table: t, prompt: prompt, objectiveMS: float64(objective) / float64(time.Millisecond), now: now, options: t.options[:0]}
}

// chooser compares the candidates of one request.
type chooser struct {
	table  *Table
	prompt *traffic.Prompt
	// objectiveMS is when the first piece of the answer is wanted, in ms.
	objectiveMS float64
	now         clock.Boot

	options []option
	usable  int
	total   int
	// backlog is the number of prompt tokens that the candidates have still to read.
	backlog int
	// shared is the number of tokens of the shared parts.
	shared int
	// known tells that some candidate holds the last shared part.
	known bool
	// sources are what can be copied from.
	sources []source
	// likely is the candidate that ranks first for parts that are not known to be
	// anywhere: other VMs send them there.
	likely *option
	// floor is the least part of failed requests among the candidates.
	floor float64
}

func (c *chooser) survey(candidates []*traffic.Endpoint, excluded func(string) bool) {
	c.markHolders()
	c.floor = 1
	states := c.table.statesOf(candidates)
	for i, endpoint := range candidates {
		known := states[i]
		o := option{
			endpoint: endpoint,
			state:    known,
			load:     known.load(c.now),
			missing:  c.missing(known),
			position: lastPosition,
			avoided:  c.now < known.avoidUntil,
			leaving:  known.notice.leavingAt != 0,
			excluded: excluded(endpoint.ID) || known.notice.bars(c.now, c.table.leavingFor),
			faults:   known.faultShare(c.now),
		}
		c.total += o.load
		c.backlog += known.reading + known.peersReading
		c.known = c.known || c.holdsLast(known)
		if !o.excluded {
			c.usable++
			c.floor = min(c.floor, o.faults)
		}
		c.options = append(c.options, o)
	}
	if c.shared > 0 && !c.known {
		c.setPositions()
	}
	if len(c.prompt.Parts) == 0 {
		return
	}
	for i := range c.options {
		c.estimate(&c.options[i])
	}
}

// markHolders sets what the endpoints that hold shared parts lack, and lists what
// can be copied from. Whoever holds a part has read all parts before it.
func (c *chooser) markHolders() {
	parts := c.sharedParts()
	for i := len(parts) - 1; i >= 0; i-- {
		places := c.table.parts.of(parts[i].ID)
		for at := range places {
			c.markHolder(&places[at])
		}
		c.shared += parts[i].Tokens
	}
	c.sortSources()
}

// markHolder takes in one place of the part before which shared tokens were
// counted.
func (c *chooser) markHolder(at *place) {
	known, ok := c.table.states[at.endpoint]
	if !ok || !c.table.parts.valid(at) {
		return
	}
	if known.marked != c.table.serial {
		known.marked, known.missing = c.table.serial, c.shared
	}
	c.addSource(known, at)
}

// missing returns the shared tokens behind the last part that the endpoint is
// known to hold.
func (c *chooser) missing(known *state) int {
	if known.marked == c.table.serial {
		return known.missing
	}
	return c.shared
}

func (c *chooser) holdsLast(known *state) bool {
	return known.marked == c.table.serial && known.missing == 0
}

// setPositions ranks the candidates for the last shared part. Load does not
// change the order, so that VMs that know nothing yet agree on it.
func (c *chooser) setPositions() {
	parts := c.sharedParts()
	key := parts[len(parts)-1].ID
	var first [lastPosition]*option
	for i := range c.options {
		o := &c.options[i]
		if o.avoided {
			continue
		}
		o.draw = draw(key, o.state.hash)
		if c.likely == nil || o.draw > c.likely.draw {
			c.likely = o
		}
		if o.excluded {
			continue
		}
		for position := range first {
			if first[position] == nil || o.draw > first[position].draw {
				o, first[position] = first[position], o
			}
			if o == nil {
				break
			}
		}
	}
	for position, o := range first {
		if o != nil {
			o.position = position
		}
	}
}

// draw returns the rank of an endpoint for a part; the highest goes first.
func draw(part, endpoint uint64) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], part)
	binary.LittleEndian.PutUint64(key[8:], endpoint)
	return xxhash.Sum64(key[:])
}

// estimate sets what the endpoint would have to read and how long that takes.
func (c *chooser) estimate(o *option) {
	copyMS := 0.0
	o.left = o.missing
	if from := c.fetchFrom(o); from != nil {
		o.source, o.left = from.endpoint, from.missing
		copyMS = copySetUpMS + float64(o.missing-o.left)/copyTokensPerMS
	}
	o.reading = o.left + c.ownTokens()
	backlog := o.state.reading + o.state.peersReading + o.reading
	o.delayMS = copyMS + float64(backlog)/readTokensPerMS
}

// ownTokens is the size of the request's own part.
func (c *chooser) ownTokens() int {
	parts := c.prompt.Parts
	if len(parts) < 2 {
		return 0
	}
	return parts[len(parts)-1].Tokens
}

// sharedParts are the parts before the request's own one.
func (c *chooser) sharedParts() []traffic.Part {
	parts := c.prompt.Parts
	if len(parts) < 2 {
		return parts
	}
	return parts[:len(parts)-1]
}
