package gateway

import (
	"context"
	"time"

	"cardamompoint.example/cardamompoint/gateway/choice"
	"cardamompoint.example/cardamompoint/gateway/reuse"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/gateway/upstream"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// run sends the request to the picked endpoint and forwards the response.
func (x *exchange) run() outcome {
	if x.response != nil {
		return x.continueHandover()
	}
	if out, ok := x.begin(); !ok {
		return out
	}
	defer x.work.End()
	out, ok := x.roundTrip(x.waitLonger, x.progressTimeout())
	if ok {
		out = x.handleResponse()
	}
	x.end(&out)
	return out
}

// continueHandover forwards the response of an endpoint that has taken the request over.
func (x *exchange) continueHandover() outcome {
	defer x.work.End()
	x.conn.OnReadTimeout(x.waitLonger)
	x.setReadDeadline(x.progressTimeout())
	out := x.handleResponse()
	x.end(&out)
	return out
}

// begin counts the attempt and connects to the picked endpoint. ok is false if it can't be reached; out is
// then the outcome.
func (x *exchange) begin() (out outcome, ok bool) {
	table := x.gateway.table
	x.work = table.Begin(x.pick, &x.request.Prompt, clock.Now())
	x.gateway.limits.Take(x.pick.Endpoint, clock.Now())
	conn, err := x.connect(x.pick)
	if err != nil {
		x.work.End()
		if x.r.Context().Err() == nil {
			table.RecordUnreachable(x.pick.Endpoint.ID, err.Error(), clock.Now())
		}
		return x.checkCaller(outcome{result: resultNotExecuted, unsent: true, err: err}), false
	}
	x.conn = conn
	x.abandon = context.AfterFunc(x.r.Context(), x.callerGone)
	return outcome{}, true
}

// callerGone ends the endpoint's work when the caller has left.
func (x *exchange) callerGone() {
	x.leftAt.Store(int64(clock.Now()))
	x.conn.Abort()
}

// end keeps the connection for other requests or closes it, and adds to the outcome what the connection
// says of it. An exchange without a connection has ended already.
func (x *exchange) end(out *outcome) {
	if x.conn == nil {
		return
	}
	x.work.End()
	x.recordConnection(out)
	if x.abandon() && x.fullyRead(*out) && x.requestWritten() && x.conn.PrepareReuse(x.response, x.info) {
		x.gateway.pool.Put(x.conn)
		x.gateway.metrics.CountConnection("kept")
		return
	}
	if x.fullyRead(*out) {
		x.conn.Close()
	} else {
		x.conn.Abort()
	}
	x.gateway.metrics.CountConnection("closed")
}

// recordConnection adds to the outcome what the connection says of it.
func (x *exchange) recordConnection(out *outcome) {
	out.wasIdle, out.idleFor = x.conn.WasIdle(), x.conn.IdleFor()
	out.stale = x.r.Context().Err() == nil && x.conn.Stale(out.err)
	if out.stale {
		x.gateway.metrics.CountConnection("stale")
		x.gateway.pool.CloseIdle(x.pick.Endpoint.ID, out.idleFor)
	}
}

// connect returns a connection to the picked endpoint.
func (c *call) connect(pick choice.Pick) (*upstream.Conn, error) {
	began := clock.Now()
	conn, err := c.gateway.pool.Get(c.r.Context(), pick.Endpoint.ID, pick.Endpoint.Address, c.maxIdle(pick.Endpoint))
	c.gateway.metrics.ObserveConnect(clock.Now().Sub(began))
	switch {
	case err != nil:
		c.gateway.metrics.CountConnection("failed")
	case conn.Reused():
		c.gateway.metrics.CountConnection("reused")
	default:
		c.gateway.metrics.CountConnection("opened")
	}
	return conn, err
}

// maxIdle returns for how long a connection to an endpoint may have been idle before the request goes on
// it. A request that can't be sent once more is more careful.
func (c *call) maxIdle(endpoint *traffic.Endpoint) time.Duration {
	if c.gateway.idleResets.Empty() {
		return reuse.Unlimited
	}
	now := clock.Now()
	final := c.lastExecution() || !c.gateway.budget.Allows(c.grant.service, now)
	endpoints := len(c.gateway.tracker.Snapshot().Ready[endpoint.Service])
	return c.gateway.idleResets.MaxIdle(endpoint, endpoints, final, now)
}
