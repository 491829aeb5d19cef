package upstream

import (
	"io"

	"cardamompoint.example/cardamompoint/code"
)

// maxHeaderBytes bounds the head of one answer, in bytes.
const maxHeaderBytes = 32 << 10

// headerLimiter passes reads on, and fails them once the head that is being read is longer
// than maxHeaderBytes. It does not bound bodies.
type headerLimiter struct {
	source io.Reader
	// inHeader tells that a head is being read, left is what it may still have.
	inHeader  bool
	remaining int
}

// begin starts a head.
func (b *headerLimiter) begin() {
	b.inHeader, b.remaining = true, maxHeaderBytes
}

// end tells that the head was read.
func (b *headerLimiter) end() {
	b.inHeader = false
}

// Read implements io.Reader.
func (b *headerLimiter) Read(p []byte) (int, error) {
	if !b.inHeader {
		return b.source.Read(p)
	}
	if b.remaining <= 0 {
		return 0, code.New(code.EndpointFault, "the head of an answer is longer than %d bytes", maxHeaderBytes)
	}
	count, err := b.source.Read(p[:min(len(p), b.remaining)])
	b.remaining -= count
	return count, err
}
