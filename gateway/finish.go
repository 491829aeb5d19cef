package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/gateway/choice"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
	"cardamompoint.example/cardamompoint/platform"
)

// finish ends a call that did not succeed: with the failure response of an endpoint, with an
// error response of the gateway, or by aborting a partial response.
func (c *call) finish(err error) {
	coded := code.Of(err)
	c.result = coded.Code
	c.detail = coded.Message
	if c.headerSent && coded.Code != code.DeadlineExceeded && coded.Code != code.Canceled {
		c.result = code.AnswerIncomplete
	}
	if c.headerSent || coded.Code == code.Canceled {
		// Abort the connection: if the handler returned, net/http would end the response as a
		// complete one. A caller that has closed only its sending half would receive that.
		panic(http.ErrAbortHandler)
	}
	if c.lastFailure != nil {
		c.deliver(c.lastFailure)
		return
	}
	c.refuse(c.callerError(coded))
}

// callerError converts the error that ended a call to the error for the caller. It states that
// the request was not executed only if no endpoint may have executed it.
func (c *call) callerError(coded *code.Error) *code.Error {
	info := code.Describe(coded.Code)
	if c.executions > 0 && info.Run == code.RunNo {
		return code.New(code.OutcomeUnknown, "%s", coded.Message)
	}
	if c.executions == 0 && coded.Code == code.EndpointFault {
		return code.New(code.NoEndpoint, "%s", coded.Message).After(retryAfterShort)
	}
	if c.executions == 0 && coded.Code == code.RetryBudget {
		return coded.After(retryAfterShort)
	}
	return coded
}

// refuse responds with an error code.
func (c *call) refuse(err error) {
	coded := code.Of(err)
	c.result, c.detail = coded.Code, coded.Message
	if coded.Code == code.Canceled {
		panic(http.ErrAbortHandler)
	}
	coded.RequestID = c.request.ID
	raw, marshalErr := json.Marshal(jsonhttp.ErrorBody{Error: coded})
	if marshalErr != nil {
		klog.ErrorS(marshalErr, "route: an error can't be encoded")
	}
	c.status = code.Describe(coded.Code).Status
	platform.SetGatewayHeader(c.w.Header(), c.request.ID, time.Duration(coded.RetryAfterMS)*time.Millisecond)
	c.w.Header().Set(headerContentType, "application/json")
	c.setContentLength(len(raw))
	c.w.WriteHeader(c.status)
	if _, err := c.w.Write(raw); err != nil {
		c.detail = "writing the response to the caller failed"
	}
}

func (c *call) setContentLength(size int) {
	c.w.Header().Set("Content-Length", strconv.Itoa(size))
}

// attemptRecord is the record of one attempt in the log line of a request. Most fields are those
// of choice.Pick.
type attemptRecord struct {
	Endpoint      string        `json:"endpoint"`
	Reason        choice.Reason `json:"reason"`
	Load          int           `json:"load"`
	Mean          float64       `json:"mean"`
	MissingTokens int           `json:"missing,omitempty"`
	PrefillTokens int           `json:"reading,omitempty"`
	DelayMS       int           `json:"delay_ms,omitempty"`
	FetchFrom     string        `json:"fetch,omitempty"`
	Status        int           `json:"status,omitempty"`
	// BeganMS is when the attempt began, SentMS when the request was written, FirstMS when the first event of
	// a stream was forwarded, LastMS when the last event since then was, and LeftMS when the VM noticed that the
	// caller had left, in milliseconds since the request arrived.
	BeganMS int64 `json:"began_ms"`
	SentMS  int64 `json:"sent_ms,omitempty"`
	FirstMS int64 `json:"first_ms,omitempty"`
	LastMS  int64 `json:"last_ms,omitempty"`
	LeftMS  int64 `json:"left_ms,omitempty"`
	TookMS  int64 `json:"took_ms"`
	// After is the ID of the event after which the endpoint was asked to go on, and LastID that of the event
	// that was forwarded at LastMS.
	After  string `json:"after,omitempty"`
	LastID string `json:"last_id,omitempty"`
	// Idle reports whether the connection was an idle one, IdleMS for how long, in milliseconds, and
	// Stale whether it ended before a byte of a response came.
	Idle   bool  `json:"idle,omitempty"`
	IdleMS int64 `json:"idle_ms,omitempty"`
	Stale  bool  `json:"stale,omitempty"`
	// Handover reports whether the endpoint was asked to take the request of a silent one over, and
	// did not.
	Handover bool `json:"handover,omitempty"`
	// Silences counts the progress timeouts after which the attempt went on, as no other one
	// was possible.
	Silences int    `json:"silences,omitempty"`
	Fault    string `json:"fault,omitempty"`
	// FaultPercent is the estimate by which the endpoint was picked.
	FaultPercent int `json:"fault_percent,omitempty"`
	// ContentionPercent is the time that work was expected to take on the endpoint's host, in percent of the usual
	// one, 0 if that is 100.
	ContentionPercent int            `json:"contention_percent,omitempty"`
	Passed            *choice.Passed `json:"passed,omitempty"`
}

// newRecord returns the record of the attempt for the log line of the request.
func (x *exchange) newRecord(out outcome) attemptRecord {
	pick := x.pick
	record := attemptRecord{
		Endpoint:      pick.Endpoint.ID,
		Reason:        pick.Reason,
		Load:          pick.Load,
		Mean:          pick.Mean,
		MissingTokens: pick.MissingTokens,
		PrefillTokens: pick.PrefillTokens,
		DelayMS:       int(pick.DelayMS),
		Status:        out.status,
		BeganMS:       x.started.Sub(x.arrived).Milliseconds(),
		TookMS:        clock.Now().Sub(x.started).Milliseconds(),
		Handover:      out.handover,
		Silences:      x.silences,
		Idle:          out.wasIdle,
		IdleMS:        out.idleFor.Milliseconds(),
		Stale:         out.stale,
		FaultPercent:  pick.FaultPercent,
		Passed:        pick.Passed,
		After:         x.resumedAfter,
	}
	if sent := clock.Boot(x.sentAt.Load()); sent > 0 {
		record.SentMS = sent.Sub(x.arrived).Milliseconds()
	}
	if left := clock.Boot(x.leftAt.Load()); left > 0 {
		record.LeftMS = left.Sub(x.arrived).Milliseconds()
	}
	if x.firstEventAt >= x.started {
		record.FirstMS = x.firstEventAt.Sub(x.arrived).Milliseconds()
	}
	if x.lastEventAt >= x.started {
		record.LastMS = x.lastEventAt.Sub(x.arrived).Milliseconds()
		record.LastID = string(x.lastEventID)
	}
	if percent := int(math.Round(100 * pick.Contention)); percent > 100 {
		record.ContentionPercent = percent
	}
	if pick.FetchFrom != nil {
		record.FetchFrom = pick.FetchFrom.ID
	}
	if out.err != nil {
		record.Fault = out.err.Error()
	}
	return record
}

// routeKind returns the kind of the request's route for metrics.
func (c *call) routeKind() string {
	switch {
	case c.grant.route == nil:
		return "none"
	case c.grant.route.Stream && c.grant.route.Resume:
		return "resumable_stream"
	case c.grant.route.Stream:
		return "stream"
	case c.grant.route.RetryPolicy == traffic.RetryFreely:
		return "idempotent"
	default:
		return "non_idempotent"
	}
}

// repeatLabel returns the log value for whether the request may be executed again: never or
// maybe. Under load the log sink drops lines with maybe first.
func (c *call) repeatLabel() string {
	if c.grant.route != nil && !c.grant.route.Retryable() && !c.grant.route.Stream {
		return "never"
	}
	return "maybe"
}

// logRequest writes the log line of the request and records its metrics.
func (c *call) logRequest() {
	took := clock.Now().Sub(c.arrived)
	c.gateway.metrics.ObserveRequest(c.result.String(), c.routeKind(), took)
	if c.events > 0 {
		c.gateway.metrics.ObserveStream(c.events, c.firstEventAt.Sub(c.arrived), c.longestGap)
	}
	route, workspace := "", ""
	if c.grant.route != nil {
		route = c.grant.route.Name
	}
	if c.grant.workspace != nil {
		workspace = c.grant.workspace.Name
	}
	age := c.gateway.tracker.Age(clock.Now()).Milliseconds()
	fields := []any{"request", c.request.ID, "code", int(c.result), "status", c.status, "took_ms", took.Milliseconds(),
		"repeat", c.repeatLabel(), "route", route, "workspace", workspace, "service", c.grant.service, "version", c.grant.version, "age_ms", age,
		"waited_ms", c.prefillWaited.Milliseconds(), "pieces", c.events, "pause_ms", c.longestGap.Milliseconds(), "attempts", c.attemptRecords}
	if c.result == code.Canceled {
		c.gateway.metrics.CountCallerLeft(c.sent.Load())
	}
	unread := c.readAt.Sub(c.arrived)
	c.gateway.metrics.ObserveUnread(unread)
	c.gateway.unread.record(c.grant.service, unread, c.readAt)
	if unread >= time.Millisecond {
		fields = append(fields, "unread_ms", unread.Milliseconds())
	}
	if c.locationWait > 0 {
		c.gateway.metrics.ObserveLocationWait(c.locationWait)
		fields = append(fields, "locations_ms", c.locationWait.Milliseconds())
	}
	if len(c.suspects) > 0 && (c.result != code.OK || len(c.attemptRecords) > 1) {
		fields = append(fields, "parts", traffic.FormatPartIDs(c.suspects))
	}
	if len(c.attemptRecords) > 1 || c.result == code.RetryBudget {
		fields = append(fields, "retry_budget", c.gateway.budget.Status(c.grant.service, clock.Now()).String())
	}
	if c.result == code.OK {
		klog.InfoS("route: served", fields...)
		return
	}
	klog.ErrorS(nil, "route: not served", append(fields, "detail", c.detail)...)
}
