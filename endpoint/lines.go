package endpoint

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
)

const (
	maxLineBytes  = 1 << 20
	maxErrorBytes = 1 << 20
)

// ReadLines sends request and hands the lines of the answer to sink until the
// final one. Silence for longer than progress ends the answer by abandon,
// which must cancel the request's context. A line that guard drops is not
// handed on.
func ReadLines(client *http.Client, request *http.Request, abandon context.CancelFunc, progress time.Duration, guard *LineGuard, sink Sink) error {
	silence := time.AfterFunc(progress, abandon)
	defer silence.Stop()
	response, err := client.Do(request)
	if err != nil {
		return jsonhttp.SendError(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return jsonhttp.DecodeError(response.StatusCode, raw)
	}
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for scanner.Scan() {
		silence.Reset(progress)
		done, err := handLine(scanner.Bytes(), guard, sink)
		if done || err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return code.Wrap(err, code.EndpointFault, "the answer was cut")
	}
	return code.New(code.EndpointFault, "the answer ended without its final line")
}

// handLine decodes one line and reports whether it closes the answer.
func handLine(raw []byte, guard *LineGuard, sink Sink) (bool, error) {
	if len(raw) == 0 {
		return false, nil
	}
	var line Line
	if err := json.Unmarshal(raw, &line); err != nil {
		return false, code.Wrap(err, code.EndpointFault, "a line can't be decoded")
	}
	deliver, err := guard.Check(line)
	if err != nil {
		return false, err
	}
	if line.Error != nil {
		return true, line.Error
	}
	if !deliver {
		return false, nil
	}
	if err := sink(line); err != nil {
		return false, err
	}
	return line.Final != nil, nil
}
