package upstream

import (
	"io"
	"net/http"

	"cardamompoint.example/cardamompoint/code"
)

// maxDiscardBytes bounds the size of a response body that is discarded to keep the connection.
const maxDiscardBytes = 64 << 10

// Discard reads and discards the body of a response. An error, which has the code
// code.EndpointFault if the body is too long, means that the connection must not be reused.
// Discard does not close the body, because that would read it to its end, which may never come.
func Discard(response *http.Response) error {
	size, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscardBytes))
	if err == nil && size == maxDiscardBytes {
		return code.New(code.EndpointFault, "the response is too long to be discarded")
	}
	return err
}
