package upstream

import (
	"io"

	"cardamompoint.example/cardamompoint/internal/socket"
)

// closeDelimitedBody is a response body without a length, which ends with its connection. It is complete only if
// the endpoint has closed the connection in order.
type closeDelimitedBody struct {
	io.ReadCloser
	writer *socket.Writer
}

// Read implements io.Reader. At the end of a connection that broke it returns the error of that.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	count, err := b.ReadCloser.Read(p)
	return count, b.writer.ReadError(err)
}
