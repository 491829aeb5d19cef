package gateway

import (
	"sync/atomic"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/internal/httpguard"
	"cardamompoint.example/cardamompoint/metrics"
)

// callerClosures counts the connections of callers that were closed, and logs those on which bytes
// got no response. It is safe for concurrent use.
type callerClosures struct {
	metrics    *metrics.Gateway
	closed     atomic.Int64
	unanswered atomic.Int64
}

// add counts a connection that was closed.
func (c *callerClosures) add(conn *httpguard.Conn, closure httpguard.Closure) {
	c.metrics.CountCallerConnection(string(closure.Reason), closure.Unanswered)
	c.closed.Add(1)
	if !closure.Unanswered {
		return
	}
	c.unanswered.Add(1)
	klog.InfoS("gateway: bytes of a caller got no answer, as the connection was closed", "reason", string(closure.Reason), "caller", conn.RemoteAddr().String())
}
