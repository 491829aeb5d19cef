package gateway

import (
	"golang.org/x/sync/semaphore"

	"cardamompoint.example/cardamompoint/code"
)

const (
	// bodyPart is the part of the memory that bodies of callers may fill, answerPart that
	// of endpoints' answers which are kept until they are whole.
	bodyPart   = 0.25
	answerPart = 0.1
	// defaultMemory stands for a memory limit that is not told, in bytes.
	defaultMemory = 256 << 20
)

// bodyRoom bounds the bodies of all requests in progress, or of all their answers,
// together. It is safe for concurrent use.
type bodyRoom struct {
	size     int64
	weighted *semaphore.Weighted
}

// newBodyRoom returns room of a part of the memory, in bytes; 0 stands for a limit that is
// not told.
func newBodyRoom(memory int64, share float64) *bodyRoom {
	if memory <= 0 {
		memory = defaultMemory
	}
	size := int64(float64(memory) * share)
	return &bodyRoom{size: size, weighted: semaphore.NewWeighted(size)}
}

// take reserves room for a body. It does not wait: another VM may have room.
func (b *bodyRoom) take(bytes int64) error {
	if !b.tryTake(bytes) {
		return code.New(code.Overloaded, "the bodies of requests in progress fill the room of %d bytes", b.size).After(comeBackSoon)
	}
	return nil
}

// tryTake reserves room if there is enough.
func (b *bodyRoom) tryTake(bytes int64) bool {
	return b.weighted.TryAcquire(bytes)
}

// give returns the room of a body.
func (b *bodyRoom) give(bytes int64) {
	b.weighted.Release(bytes)
}
