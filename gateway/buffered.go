package gateway

import (
	"io"
	"net/http"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/platform"
)

// maxBufferedBytes bounds the size of a response that is buffered before any of it is
// forwarded.
const maxBufferedBytes = 256 << 10

// bufferedResponse is a complete response of an endpoint, held until the gateway decides
// whether to deliver it to the caller or to retry.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// forwardBuffered reads the complete response before it delivers it to the caller, so that a
// failed response can be replaced by a retry.
func (x *exchange) forwardBuffered() outcome {
	if !x.reserveResponse() {
		return x.forwardUnbuffered(nil)
	}
	body, err := io.ReadAll(io.LimitReader(x.response.Body, maxBufferedBytes+1))
	if err := x.checkHandover(err); err != nil {
		return x.classifyError(err)
	}
	if len(body) > maxBufferedBytes {
		return x.forwardUnbuffered(body)
	}
	failed := x.info.Status >= http.StatusInternalServerError
	if !failed {
		x.work.RecordDelay(clock.Now())
		x.recordAnswering()
		x.recordAnswered()
	}
	x.gateway.table.RecordOutcome(x.pick.Endpoint.ID, failed, clock.Now())
	response := &bufferedResponse{status: x.info.Status, header: x.response.Header, body: body}
	if failed {
		x.lastFailure = response
		return outcome{result: resultFailed, status: response.status, err: statusError(response.status, nil)}
	}
	return x.deliver(response)
}

// reserveResponse reserves quota for the response until the end of the call. It returns false
// if the buffered responses of other calls use up the quota.
func (x *exchange) reserveResponse() bool {
	size := int64(maxBufferedBytes + 1)
	if length := x.response.ContentLength; length >= 0 {
		size = min(size, length)
	}
	if !x.gateway.responseQuota.tryReserve(size) {
		return false
	}
	x.responseBytes += size
	return true
}

// deliver sends a buffered response to the caller.
func (c *call) deliver(response *bufferedResponse) outcome {
	platform.CopyResponseHeader(c.w.Header(), response.header)
	c.setContentLength(len(response.body))
	c.status = response.status
	c.w.WriteHeader(response.status)
	if _, err := c.w.Write(response.body); err != nil {
		return outcome{result: resultCallerGone, status: response.status, err: err}
	}
	return outcome{result: resultDone, status: response.status}
}

// forwardUnbuffered streams a response that is too long to be buffered, or for which no quota
// is left. begin is the part of the body that was already read.
func (x *exchange) forwardUnbuffered(begin []byte) outcome {
	platform.CopyResponseHeader(x.w.Header(), x.response.Header)
	if x.response.ContentLength >= 0 {
		x.setContentLength(int(x.response.ContentLength))
	}
	x.status = x.info.Status
	x.headerSent = true
	x.w.WriteHeader(x.info.Status)
	if _, err := x.w.Write(begin); err != nil {
		return outcome{result: resultCallerGone, err: err}
	}
	if _, err := io.Copy(x.w, x.response.Body); err != nil {
		x.recordBroken(err)
		return outcome{result: resultTruncated, status: x.info.Status, err: code.Wrap(err, code.AnswerIncomplete, "the response broke off")}
	}
	x.recordAnswered()
	x.gateway.table.RecordOutcome(x.pick.Endpoint.ID, false, clock.Now())
	return outcome{result: resultDone, status: x.info.Status}
}
