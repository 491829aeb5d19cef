package gateway

import (
	"golang.org/x/sync/semaphore"

	"cardamompoint.example/cardamompoint/code"
)

const (
	// bodyMemoryShare is the share of the memory limit for request bodies, responseMemoryShare
	// the one for responses that are buffered before delivery.
	bodyMemoryShare     = 0.25
	responseMemoryShare = 0.1
	// defaultMemoryBytes is the assumed memory limit if none is configured.
	defaultMemoryBytes = 256 << 20
)

// bodyQuota bounds the total size of the bodies of all requests in progress, or of all their
// buffered responses. It is safe for concurrent use.
type bodyQuota struct {
	limit     int64
	semaphore *semaphore.Weighted
}

// newBodyQuota returns a quota of the given share of memory, in bytes. A memory of 0 means that
// the limit is not known.
func newBodyQuota(memory int64, share float64) *bodyQuota {
	if memory <= 0 {
		memory = defaultMemoryBytes
	}
	size := int64(float64(memory) * share)
	return &bodyQuota{limit: size, semaphore: semaphore.NewWeighted(size)}
}

// reserve reserves quota for a body. It fails instead of waiting, as another VM may have
// capacity.
func (b *bodyQuota) reserve(bytes int64) error {
	if !b.tryReserve(bytes) {
		return code.New(code.Overloaded, "the bodies of requests in progress use up the quota of %d bytes", b.limit).After(retryAfterShort)
	}
	return nil
}

// tryReserve reserves quota for a body and reports whether there was enough.
func (b *bodyQuota) tryReserve(bytes int64) bool {
	return b.semaphore.TryAcquire(bytes)
}

// release returns the quota of a body.
func (b *bodyQuota) release(bytes int64) {
	b.semaphore.Release(bytes)
}
