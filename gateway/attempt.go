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

// attempt sends the request to the picked endpoint and forwards the response.
func (c *call) attempt(pick choice.Pick) outcome {
	id := pick.Endpoint.ID
	table := c.gateway.table
	work := table.Begin(pick, &c.request.Prompt, clock.Now())
	c.gateway.limits.Take(pick.Endpoint, clock.Now())
	defer work.End()
	x := &exchange{call: c, pick: pick, work: work}
	conn, err := c.connect(pick)
	if err != nil {
		if c.r.Context().Err() == nil {
			table.RecordUnreachable(id, err.Error(), clock.Now())
		}
		return x.checkCaller(outcome{result: resultNotExecuted, unsent: true, err: err})
	}
	x.conn = conn
	abandon := context.AfterFunc(c.r.Context(), conn.Close)
	out := x.roundTrip()
	x.recordConnection(&out)
	if abandon() && x.fullyRead(out) && x.requestWritten() && conn.PrepareReuse(x.response, x.info) {
		c.gateway.pool.Put(conn)
		c.gateway.metrics.CountConnection("kept")
		return out
	}
	conn.Close()
	c.gateway.metrics.CountConnection("closed")
	return out
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
	now := clock.Now()
	if c.gateway.idleResets.InForce(now) == 0 {
		return reuse.Unlimited
	}
	final := c.lastExecution() || !c.gateway.budget.Allows(c.grant.service, now)
	endpoints := len(c.gateway.tracker.Snapshot().Ready[endpoint.Service])
	return c.gateway.idleResets.MaxIdle(endpoint, endpoints, final, now)
}
