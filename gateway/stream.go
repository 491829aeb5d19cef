package gateway

import (
	"errors"
	"io"
	"net/http"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/platform"
	"cardamompoint.example/cardamompoint/stream"
)

// passStream passes whole events on as they come. The header goes out with the
// first event, so that an endpoint that fails before can be replaced.
func (x *exchange) passStream() outcome {
	control := http.NewResponseController(x.w)
	events := stream.NewEventReader(x.response.Body)
	for {
		x.expire(x.patience())
		piece, lastID, err := events.Next()
		if errors.Is(err, io.EOF) {
			return x.endStream()
		}
		if err != nil {
			return x.breakStream(err)
		}
		x.work.PrefillDone()
		x.startStream()
		x.countPiece()
		if _, err := x.w.Write(piece); err != nil {
			return outcome{fate: fateGone, status: x.answer.Status, err: err}
		}
		if err := control.Flush(); err != nil {
			return outcome{fate: fateGone, status: x.answer.Status, err: err}
		}
		if len(lastID) > 0 {
			x.lastEvent = append(x.lastEvent[:0], lastID...)
		}
	}
}

// startStream sends the header of the first endpoint that gave an event.
func (x *exchange) startStream() {
	if x.streaming {
		return
	}
	x.streaming = true
	x.firstAt = clock.Now()
	x.status = x.answer.Status
	platform.CopyResponseHeader(x.w.Header(), x.response.Header)
	x.w.WriteHeader(x.answer.Status)
}

// countPiece notes when a piece came.
func (x *exchange) countPiece() {
	now := clock.Now()
	if x.pieces > 0 {
		x.longestPause = max(x.longestPause, now.Sub(x.lastPiece))
	}
	x.pieces++
	x.lastPiece = now
}

func (x *exchange) endStream() outcome {
	x.startStream()
	x.gateway.table.RecordOutcome(x.pick.Endpoint.ID, false, clock.Now())
	return outcome{fate: fateDone, status: x.answer.Status}
}

func (x *exchange) breakStream(err error) outcome {
	came := x.broken(code.Wrap(err, code.AnswerIncomplete, "the stream broke off"))
	came.status = 0
	if came.fate == fateFailed && x.streaming {
		came.fate = fateBroken
	}
	return came
}
