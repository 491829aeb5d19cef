package hosted

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

// invalidStatuses are the statuses of InvalidStatus.
var invalidStatuses = []int{0, 99, 600, 999}

// respondWithInvalidStatus responds to a request with one of invalidStatuses, which its ID selects.
func respondWithInvalidStatus(out http.ResponseWriter, id string) {
	raw, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer raw.Close()
	status := invalidStatuses[0]
	if len(id) > 0 {
		status = invalidStatuses[int(id[len(id)-1])%len(invalidStatuses)]
	}
	fmt.Fprintf(raw, "HTTP/1.1 %03d Odd\r\nCardamompoint-Attempt-Id: %s\r\nCardamompoint-Response-Seal: x\r\nContent-Length: 3\r\n\r\nodd", status, id)
}

// stopTime is how long StopWithinChunk is silent.
const stopTime = 3 * time.Second

// stopWithinChunk sends the size of a chunk, and closes the connection after stopTime or when the client closes it.
func (w *Worker) stopWithinChunk(control *http.ResponseController, id string) {
	raw, _, err := control.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer raw.Close()
	_, _ = io.WriteString(raw, "20\r\n")
	_ = raw.SetReadDeadline(time.Now().Add(stopTime))
	if _, err := raw.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		w.abandon(id)
	}
}
