package gateway

import (
	"golang.org/x/sync/semaphore"

	"cardamompoint.example/cardamompoint/code"
)

const (
	// bodyPart is the part of the memory that bodies of callers may fill.
	bodyPart = 0.25
	// defaultMemory stands for a memory limit that is not told, in bytes.
	defaultMemory = 256 << 20
)

// bodyRoom bounds the bodies of all requests in progress together. It is safe for
// concurrent use.
type bodyRoom struct {
	size     int64
	weighted *semaphore.Weighted
}

func newBodyRoom(memory int64) *bodyRoom {
	if memory <= 0 {
		memory = defaultMemory
	}
	size := int64(float64(memory) * bodyPart)
	return &bodyRoom{size: size, weighted: semaphore.NewWeighted(size)}
}

// take reserves room for a body. It does not wait: another VM may have room.
func (b *bodyRoom) take(bytes int64) error {
	if !b.weighted.TryAcquire(bytes) {
		return code.New(code.Overloaded, "the bodies of requests in progress fill the room of %d bytes", b.size).After(comeBackSoon)
	}
	return nil
}

// give returns the room of a body.
func (b *bodyRoom) give(bytes int64) {
	b.weighted.Release(bytes)
}
