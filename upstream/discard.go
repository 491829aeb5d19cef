package upstream

import (
	"io"
	"net/http"

	"cardamompoint.example/cardamompoint/code"
)

// strayLimit bounds the bytes of an answer that are read to be dropped.
const strayLimit = 64 << 10

// discard reads and drops the body of an answer.
func discard(response *http.Response) error {
	defer response.Body.Close()
	size, err := io.Copy(io.Discard, io.LimitReader(response.Body, strayLimit))
	if err == nil && size == strayLimit {
		return code.New(code.EndpointFault, "the answer is too long to be dropped")
	}
	return err
}
