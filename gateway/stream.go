package gateway

import (
	"errors"
	"io"
	"net/http"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/gateway/upstream"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/platform"
	"cardamompoint.example/cardamompoint/stream"
)

// forwardStream forwards each event when it is complete. The response header is sent with the
// first event, so that an endpoint that fails before that can be replaced.
func (x *exchange) forwardStream() outcome {
	control := http.NewResponseController(x.w)
	events := stream.NewEventReader(x.response.Body)
	for {
		x.suspected = false
		x.setReadDeadline(x.progressTimeout())
		piece, lastID, err := events.Next()
		err = x.checkHandover(err)
		if errors.Is(err, io.EOF) && !x.answering && upstream.EndsWithConnection(x.response) {
			err = io.ErrUnexpectedEOF // The end of a connection alone does not complete a stream.
		}
		if errors.Is(err, io.EOF) {
			return x.endStream()
		}
		if err != nil {
			return x.failStream(err)
		}
		if !x.answering {
			x.answering = true
			x.work.PrefillDone()
			x.work.RecordDelay(clock.Now())
			x.recordAnswering()
		}
		x.recordProgress()
		x.sendHeader()
		x.recordEvent()
		if _, err := x.w.Write(piece); err != nil {
			return outcome{result: resultCallerGone, status: x.info.Status, err: err}
		}
		if err := control.Flush(); err != nil {
			return outcome{result: resultCallerGone, status: x.info.Status, err: err}
		}
		if len(lastID) > 0 {
			x.lastEventID = append(x.lastEventID[:0], lastID...)
		}
	}
}

// sendHeader sends the response header of the first endpoint that has sent an event. Further
// calls have no effect.
func (x *exchange) sendHeader() {
	if x.headerSent {
		return
	}
	x.headerSent = true
	x.firstEventAt = clock.Now()
	x.status = x.info.Status
	platform.CopyResponseHeader(x.w.Header(), x.response.Header)
	x.w.WriteHeader(x.info.Status)
}

// recordEvent updates the count and the timing of the forwarded events.
func (x *exchange) recordEvent() {
	now := clock.Now()
	if x.events > 0 {
		x.longestGap = max(x.longestGap, now.Sub(x.lastEventAt))
	}
	x.events++
	x.lastEventAt = now
}

// endStream returns the outcome of a complete stream. A stream without events gets its header
// here.
func (x *exchange) endStream() outcome {
	x.sendHeader()
	x.recordAnswered()
	x.gateway.table.RecordOutcome(x.pick.Endpoint.ID, false, clock.Now())
	return outcome{result: resultDone, status: x.info.Status}
}

// failStream returns the outcome of a stream that broke off. The status 0 shows that the
// response was not read to its end.
func (x *exchange) failStream(err error) outcome {
	out := x.classifyError(code.Wrap(err, code.AnswerIncomplete, "the stream broke off"))
	out.status = 0
	if out.result == resultFailed && x.headerSent {
		out.result = resultTruncated
	}
	return out
}
