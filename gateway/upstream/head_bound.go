package upstream

import (
	"io"

	"cardamompoint.example/cardamompoint/code"
)

// headLimit bounds the head of one answer, in bytes.
const headLimit = 32 << 10

// headBound passes reads on, and fails them once the head that is being read is longer
// than headLimit. It does not bound bodies.
type headBound struct {
	source io.Reader
	// inHead tells that a head is being read, left is what it may still have.
	inHead bool
	left   int
}

// begin starts a head.
func (b *headBound) begin() {
	b.inHead, b.left = true, headLimit
}

// end tells that the head was read.
func (b *headBound) end() {
	b.inHead = false
}

// Read implements io.Reader.
func (b *headBound) Read(p []byte) (int, error) {
	if !b.inHead {
		return b.source.Read(p)
	}
	if b.left <= 0 {
		return 0, code.New(code.EndpointFault, "the head of an answer is longer than %d bytes", headLimit)
	}
	count, err := b.source.Read(p[:min(len(p), b.left)])
	b.left -= count
	return count, err
}
