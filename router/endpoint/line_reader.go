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
// answer at a time and reads the next one only after the sink has taken it, so
// that a slow sink holds back the sender. It is safe for concurrent use.
type LineReader struct {
	// HTTP sends the requests.
	HTTP *http.Client
	// FirstLine is the longest time until the first line. 0 means Silence.
	FirstLineTimeout time.Duration
	// Silence is the longest time without any line, empty ones included.
	SilenceTimeout time.Duration
	// Stall is the longest time without a token while other lines come. 0 means
	// no bound.
	StallTimeout time.Duration
}

// Read sends request and hands the lines of the answer that pass guard to sink
// until the final one. The time that sink takes does not count as silence. An
// error of sink is returned as it is; errors of the connection are
// ConnectionError. Unless the answer was read to its end, its connection is
// closed.
func (r *LineReader) Read(request *http.Request, guard *LineValidator, sink Sink) error {
	ctx, cancel := context.WithCancelCause(request.Context())
	defer cancel(nil)
	w := newWatchdog(cmp.Or(r.FirstLineTimeout, r.SilenceTimeout), r.SilenceTimeout, r.StallTimeout, cancel)
	defer w.stop()
	response, err := r.HTTP.Do(request.WithContext(ctx))
	if err != nil {
		return sendFailure(ctx, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return jsonhttp.DecodeError(response.StatusCode, raw)
	}
	return readLines(ctx, response.Body, w, guard, sink)
}

// sendFailure returns the error for a request that got no answer.
func sendFailure(ctx context.Context, err error) error {
	if silent := silenceOf(ctx); silent != nil {
		return silent
	}
	if ctx.Err() != nil {
		return jsonhttp.SendError(err)
	}
	return &ConnectionError{jsonhttp.SendError(err)}
}

// silenceOf returns the watchdog's error, if the watchdog ended ctx.
func silenceOf(ctx context.Context) error {
	var coded *code.Error
	cause := context.Cause(ctx)
	if errors.As(cause, &coded) && code.Is(coded, code.EndpointFault) {
		return cause
	}
	return nil
}

func readLines(ctx context.Context, body io.Reader, w *watchdog, guard *LineValidator, sink Sink) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, lineBufferBytes), maxLineBytes)
	for scanner.Scan() {
		w.stop()
		done, err := handLine(scanner.Bytes(), w, guard, sink)
		if err != nil {
			return err
		}
		w.start()
		if done {
			scanner.Scan()
			return nil
		}
	}
	return bodyFailure(ctx, scanner.Err())
}

// bodyFailure returns the error for an answer without its final line.
func bodyFailure(ctx context.Context, err error) error {
	if silent := silenceOf(ctx); silent != nil {
		return silent
	}
	if ctx.Err() != nil {
		return jsonhttp.SendError(ctx.Err())
	}
	if err != nil {
		return &ConnectionError{code.Wrap(err, code.EndpointFault, "the answer was cut")}
	}
	return &ConnectionError{code.New(code.EndpointFault, "the answer ended without its final line")}
}

// handLine decodes one line and reports whether it closes the answer.
func handLine(raw []byte, w *watchdog, guard *LineValidator, sink Sink) (bool, error) {
	if len(raw) == 0 {
		return false, nil
	}
	var line Line
	if err := json.Unmarshal(raw, &line); err != nil {
		return false, &ConnectionError{code.Wrap(err, code.EndpointFault, "a line can't be decoded")}
	}
	deliver, err := guard.Check(line)
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
		w.token()
	}
	if err := sink(line); err != nil {
		return false, err
	}
	return line.Final != nil, nil
}
