package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// Observation records that a request was waiting for its answer at an engine that crashed.
type Observation struct {
	// Engine is the instance that crashed. Each instance crashes once at most.
	Engine traffic.Instance
	// Service is the name of the engine's service.
	Service string
	// Parts are the IDs of the parts of the request's prompt. The last one is the request's own:
	// only its repeats share it.
	Parts []uint64
	// At is when the connection broke.
	At clock.Boot
	// SentBefore is how long before At the request was sent, AnsweredBefore how long before At
	// the engine's service last began an answer, as far as any VM knows.
	SentBefore     time.Duration
	AnsweredBefore time.Duration
	// Background is the share of the recent requests of all VMs that ended in a crash, as of
	// At: the probability that this crash has nothing to do with the prompt.
	Background float64

	// local reports whether this VM made the observation, so that its times are exact.
	local bool
}

// maxObservedParts bounds the parts of an Observation.
const maxObservedParts = 64

// observedParts returns the parts of a prompt that an observation names: the last one, and as many
// of the first ones as fit.
func observedParts(parts []uint64) []uint64 {
	if len(parts) <= maxObservedParts {
		return parts
	}
	observed := slices.Clone(parts[:maxObservedParts])
	observed[maxObservedParts-1] = parts[len(parts)-1]
	return observed
}

// ownPart returns the part that only repeats of the request share.
func (o *Observation) ownPart() uint64 {
	return o.Parts[len(o.Parts)-1]
}

// observationKey identifies an observation on all VMs.
type observationKey struct {
	engine traffic.Instance
	parts  uint64
}

func (o *Observation) key() observationKey {
	digest := xxhash.New()
	var raw [8]byte
	for _, part := range o.Parts {
		binary.LittleEndian.PutUint64(raw[:], part)
		_, _ = digest.Write(raw[:]) // A digest returns no error.
	}
	return observationKey{o.Engine, digest.Sum64()}
}

// began returns when the period began that makes the observation independent of earlier
// crashes: the request was sent, and the service answered, after that.
func (o *Observation) began() clock.Boot {
	return o.At.Add(-max(o.SentBefore, o.AnsweredBefore))
}

// compareObservations orders observations by time, and those of one moment by what they are.
func compareObservations(a, b *Observation) int {
	if byTime := cmp.Compare(a.At, b.At); byTime != 0 {
		return byTime
	}
	return cmp.Or(compareInstances(a.Engine, b.Engine), slices.Compare(a.Parts, b.Parts))
}

// compareInstances orders instances by what they are.
func compareInstances(a, b traffic.Instance) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartedMS, b.StartedMS))
}
