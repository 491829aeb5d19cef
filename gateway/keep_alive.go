package gateway

import (
	"fmt"
	"time"
)

const (
	// maxKeepAlive bounds how long callers may use an idle connection. A stop keeps idle connections
	// for so long.
	maxKeepAlive = 4 * time.Second
	// keepAliveMargin is for requests that callers send at the end of that time.
	keepAliveMargin = 250 * time.Millisecond
)

// keepAlive returns how long callers may use an idle connection, in whole seconds: not longer than a stop
// can wait for them. 0 means that it is not announced.
func (g *Gateway) keepAlive() time.Duration {
	span := planShutdown(0, g.bounds.Load().GracePeriod, 0).end.Sub(0) - retireTime - keepAliveMargin
	limit, _ := g.idleTimeout()
	return max(0, min(maxKeepAlive, limit, span)).Truncate(time.Second)
}

// announceClose tells the caller when the connection of its request will be closed.
func (c *call) announceClose() {
	if c.gateway.stopping.Load() {
		c.w.Header().Set("Connection", "close")
		return
	}
	if limit := c.gateway.keepAlive(); limit > 0 {
		c.w.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(limit.Seconds())))
	}
}
