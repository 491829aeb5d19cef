package gateway

import (
	"golang.org/x/sync/semaphore"

	"cardamompoint.example/cardamompoint/code"
)

const (
	// bodyMemoryShare is the part of the memory that bodies of callers may fill, responseMemoryShare that
	// of endpoints' answers which are kept until they are whole.
	bodyMemoryShare     = 0.25
	responseMemoryShare = 0.1
	// defaultMemoryBytes stands for a memory limit that is not told, in bytes.
	defaultMemoryBytes = 256 << 20
)

// bodyQuota bounds the bodies of all requests in progress, or of all their answers,
// together. It is safe for concurrent use.
type bodyQuota struct {
	limit     int64
	semaphore *semaphore.Weighted
}

// newBodyQuota returns room of a part of the memory, in bytes; 0 stands for a limit that is
// not told.
func newBodyQuota(memory int64, share float64) *bodyQuota {
	if memory <= 0 {
		memory = defaultMemoryBytes
	}
	size := int64(float64(memory) * share)
	return &bodyQuota{limit: size, semaphore: semaphore.NewWeighted(size)}
}

// reserve reserves room for a body. It does not wait: another VM may have room.
func (b *bodyQuota) reserve(bytes int64) error {
	if !b.tryReserve(bytes) {
		return code.New(code.Overloaded, "the bodies of requests in progress fill the room of %d bytes", b.limit).After(retryAfterShort)
	}
	return nil
}

// tryReserve reserves room if there is enough.
func (b *bodyQuota) tryReserve(bytes int64) bool {
	return b.semaphore.TryAcquire(bytes)
}

// release returns the room of a body.
func (b *bodyQuota) release(bytes int64) {
	b.semaphore.Release(bytes)
}
