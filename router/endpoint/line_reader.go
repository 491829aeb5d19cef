package endpoint

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
)

const (
	lineBufferBytes = 4096
	maxLineBytes    = 1 << 20
	maxErrorBytes   = 1 << 20
)

// LineReader reads answers in progress line by line. It holds one line of an
// answer at a time and reads the next one only after the sink has returned, so
// that a slow sink applies backpressure to the sender. It is safe for concurrent
// use.
type LineReader struct {
	// HTTP sends the requests.
	HTTP *http.Client
	// FirstLineTimeout is the maximum time until the first line. 0 means
	// SilenceTimeout.
	FirstLineTimeout time.Duration
	// SilenceTimeout is the maximum time between two lines. Lines without a token
	// count.
	SilenceTimeout time.Duration
	// StallTimeout is the maximum time between two tokens while other lines
	// arrive. 0 means no limit.
	StallTimeout time.Duration
}

// Read sends request and passes the lines of the answer that validator accepts to
// sink, up to the final line. The time that sink takes counts towards no timeout.
// An error of sink is returned unchanged; errors of the connection are returned
// as a ConnectionError. Unless the answer was read to its end, its connection is
// closed.
func (r *LineReader) Read(request *http.Request, validator *LineValidator, sink Sink) error {
	ctx, cancel := context.WithCancelCause(request.Context())
	defer cancel(nil)
	w := newWatchdog(cmp.Or(r.FirstLineTimeout, r.SilenceTimeout), r.SilenceTimeout, r.StallTimeout, cancel)
	defer w.stop()
	response, err := r.HTTP.Do(request.WithContext(ctx))
	if err != nil {
		return sendError(ctx, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return jsonhttp.DecodeError(response.StatusCode, raw)
	}
	return readLines(ctx, response.Body, w, validator, sink)
}

// sendError returns the error for a request that got no answer.
func sendError(ctx context.Context, err error) error {
	if timeoutErr := watchdogError(ctx); timeoutErr != nil {
		return timeoutErr
	}
	if ctx.Err() != nil {
		return jsonhttp.SendError(err)
	}
	return &ConnectionError{jsonhttp.SendError(err)}
}

// watchdogError returns the watchdog's error if the watchdog canceled ctx, and
// otherwise nil.
func watchdogError(ctx context.Context) error {
	var coded *code.Error
	cause := context.Cause(ctx)
	if errors.As(cause, &coded) && code.Is(coded, code.EndpointFault) {
		return cause
	}
	return nil
}

// readLines reads the lines of an answer up to the final one.
func readLines(ctx context.Context, body io.Reader, w *watchdog, validator *LineValidator, sink Sink) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, lineBufferBytes), maxLineBytes)
	scanner.Split(func(data []byte, atEOF bool) (int, []byte, error) {
		// After a failed read, the last line may be only the beginning of one.
		return bufio.ScanLines(data, atEOF && scanner.Err() == nil)
	})
	for scanner.Scan() {
		w.stop()
		done, err := handleLine(scanner.Bytes(), w, validator, sink)
		if err != nil {
			return err
		}
		w.start()
		if done {
			scanner.Scan()
			return nil
		}
	}
	return bodyError(ctx, scanner.Err())
}

// bodyError returns the error for an answer without a final line.
func bodyError(ctx context.Context, err error) error {
	if timeoutErr := watchdogError(ctx); timeoutErr != nil {
		return timeoutErr
	}
	if ctx.Err() != nil {
		return jsonhttp.SendError(ctx.Err())
	}
	if err != nil {
		return &ConnectionError{code.Wrap(err, code.EndpointFault, "the answer was interrupted")}
	}
	return &ConnectionError{code.New(code.EndpointFault, "the answer ended without a final line")}
}

// handleLine decodes one line, passes it to sink if validator accepts it and
// reports whether it ends the answer.
func handleLine(raw []byte, w *watchdog, validator *LineValidator, sink Sink) (bool, error) {
	if len(raw) == 0 {
		return false, nil
	}
	var line Line
	if err := json.Unmarshal(raw, &line); err != nil {
		return false, &ConnectionError{code.Wrap(err, code.EndpointFault, "a line of the answer can't be decoded")}
	}
	deliver, err := validator.Check(line)
	if err != nil {
		return false, &ConnectionError{code.Of(err)}
	}
	if line.Error != nil {
		return true, line.Error
	}
	if !deliver {
		return false, nil
	}
	if line.Text != "" {
		w.resetStall()
	}
	if err := sink(line); err != nil {
		return false, err
	}
	return line.Final != nil, nil
}
