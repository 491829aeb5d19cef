package upstream

import (
	"io"
	"net/http"

	"cardamompoint.example/cardamompoint/code"
)

// maxDiscardBytes bounds the bytes of an answer that are read to be dropped.
const maxDiscardBytes = 64 << 10

// Discard reads and drops the body of an answer. An error, which carries
// code.EndpointFault if the body is too long, means that the connection is of no further
// use. The body is not closed, as that would read it to its end, which may never come.
func Discard(response *http.Response) error {
	size, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscardBytes))
	if err == nil && size == maxDiscardBytes {
		return code.New(code.EndpointFault, "the answer is too long to be dropped")
	}
	return err
}
