package gateway

import (
	"io"
	"net/http"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/platform"
)

// wholeLimit bounds an answer that is read before any of it is passed on.
const wholeLimit = 256 << 10

// passWhole reads an answer to its end before the caller gets it, so that a
// broken one can be replaced.
func (x *exchange) passWhole() outcome {
	if !x.takeAnswerRoom() {
		return x.passLong(nil)
	}
	body, err := io.ReadAll(io.LimitReader(x.response.Body, wholeLimit+1))
	if err != nil {
		return x.broken(err)
	}
	if len(body) > wholeLimit {
		return x.passLong(body)
	}
	failed := x.answer.Status >= http.StatusInternalServerError
	x.gateway.table.RecordOutcome(x.pick.Endpoint.ID, failed, clock.Now())
	answer := &wholeAnswer{status: x.answer.Status, header: x.response.Header, body: body}
	if failed {
		x.held = answer
		return outcome{fate: fateFailed, status: answer.status, err: statusError(answer.status, nil)}
	}
	return x.deliver(answer)
}

// takeAnswerRoom reserves room for the answer until the end of the call. It returns false
// if the answers of other calls fill it.
func (x *exchange) takeAnswerRoom() bool {
	size := int64(wholeLimit + 1)
	if length := x.response.ContentLength; length >= 0 {
		size = min(size, length)
	}
	if !x.gateway.answers.tryTake(size) {
		return false
	}
	x.answerBytes += size
	return true
}

// deliver sends a whole answer to the caller.
func (c *call) deliver(answer *wholeAnswer) outcome {
	platform.CopyResponseHeader(c.w.Header(), answer.header)
	c.setLength(len(answer.body))
	c.status = answer.status
	c.w.WriteHeader(answer.status)
	if _, err := c.w.Write(answer.body); err != nil {
		return outcome{fate: fateGone, status: answer.status, err: err}
	}
	return outcome{fate: fateDone, status: answer.status}
}

// passLong passes an answer on that is too long to be kept, or for which there is no room.
func (x *exchange) passLong(begin []byte) outcome {
	platform.CopyResponseHeader(x.w.Header(), x.response.Header)
	if x.response.ContentLength >= 0 {
		x.setLength(int(x.response.ContentLength))
	}
	x.status = x.answer.Status
	x.streaming = true
	x.w.WriteHeader(x.answer.Status)
	if _, err := x.w.Write(begin); err != nil {
		return outcome{fate: fateGone, err: err}
	}
	if _, err := io.Copy(x.w, x.response.Body); err != nil {
		return outcome{fate: fateBroken, status: x.answer.Status, err: code.Wrap(err, code.AnswerIncomplete, "the answer broke off")}
	}
	x.gateway.table.RecordOutcome(x.pick.Endpoint.ID, false, clock.Now())
	return outcome{fate: fateDone, status: x.answer.Status}
}
