package hosted

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
)

// sendExtraResponse sends a response that belongs to no request of the connection, and then
// continues to serve the connection.
func (w *Worker) sendExtraResponse(out http.ResponseWriter) {
	control := http.NewResponseController(out)
	if control.Flush() != nil {
		return
	}
	raw, buffer, err := control.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer raw.Close()
	if writeResponse(buffer.Writer, "ffff", "stray") != nil {
		return
	}
	for {
		request, err := http.ReadRequest(buffer.Reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get("Cardamompoint-Attempt-Id")
		w.record(id, request, string(body))
		if writeResponse(buffer.Writer, id, "answer to "+id) != nil {
			return
		}
	}
}

// writeResponse writes a complete sealed response.
func writeResponse(to *bufio.Writer, id, body string) error {
	fmt.Fprintf(to, "HTTP/1.1 200 OK\r\nCardamompoint-Attempt-Id: %s\r\nCardamompoint-Response-Seal: x\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	return to.Flush()
}
