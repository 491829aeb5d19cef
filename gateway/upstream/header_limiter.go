package upstream

import (
	"io"

	"cardamompoint.example/cardamompoint/code"
)

// maxHeaderBytes bounds the status line and header of a response.
const maxHeaderBytes = 32 << 10

// headerLimiter forwards reads to source, and fails them when the header being read exceeds
// maxHeaderBytes. It does not limit bodies.
type headerLimiter struct {
	source io.Reader
	// inHeader reports whether a header is being read. remaining is how many more bytes it may
	// have.
	inHeader  bool
	remaining int
}

// begin marks the start of a header.
func (l *headerLimiter) begin() {
	l.inHeader, l.remaining = true, maxHeaderBytes
}

// end marks the end of a header.
func (l *headerLimiter) end() {
	l.inHeader = false
}

// Read implements io.Reader.
func (l *headerLimiter) Read(p []byte) (int, error) {
	if !l.inHeader {
		return l.source.Read(p)
	}
	if l.remaining <= 0 {
		return 0, code.New(code.EndpointFault, "the header of a response is longer than %d bytes", maxHeaderBytes)
	}
	count, err := l.source.Read(p[:min(len(p), l.remaining)])
	l.remaining -= count
	return count, err
}
