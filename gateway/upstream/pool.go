package upstream

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/socket"
)

const (
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the connection is
	// closed.
	unackedTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure the TCP keep-alive probes
	// that detect dead connections.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint does not
	// announce its own timeout.
	defaultIdleTimeout = 3 * time.Second
	// idleTimeoutMargin is subtracted from the idle timeout that an endpoint announces, so
	// that the endpoint does not close a connection while a request is on its way.
	idleTimeoutMargin = 400 * time.Millisecond
	// maxIdlePerEndpoint bounds the number of idle connections to one endpoint.
	maxIdlePerEndpoint = 16
)

// Pool keeps idle connections to endpoints for reuse. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer

	mu sync.Mutex
	// idle holds the idle connections by key. The last one was used last.
	idle map[string][]*Conn
}

// NewPool returns an empty Pool.
func NewPool() *Pool {
	return &Pool{
		dialer: net.Dialer{
			Timeout: dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable:   true,
				Idle:     keepAliveIdle,
				Interval: keepAliveInterval,
				Count:    keepAliveCount,
			},
			ControlContext: setUnackedTimeout,
		},
		idle: map[string][]*Conn{},
	}
}

// Get returns a connection to the endpoint with the given key that was idle for at most maxIdle, or a
// new connection to address. An error means that no byte was sent.
func (p *Pool) Get(ctx context.Context, key, address string, maxIdle time.Duration) (*Conn, error) {
	now := clock.Now()
	for {
		conn := p.takeIdle(key, maxIdle, now)
		if conn == nil {
			return p.Dial(ctx, key, address)
		}
		if now < conn.idleDeadline && socket.IsSilent(conn.raw) {
			conn.beginRequest(now)
			return conn, nil
		}
		conn.Close()
	}
}

// Dial returns a new connection to address, which belongs to the endpoint with the given key.
func (p *Pool) Dial(ctx context.Context, key, address string) (*Conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(key, raw), nil
}

// takeIdle removes and returns the idle connection that was used last, nil if there is none that was
// idle for at most maxIdle.
func (p *Pool) takeIdle(key string, maxIdle time.Duration, now clock.Boot) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[key]
	if len(idle) == 0 {
		return nil
	}
	last := len(idle) - 1
	conn := idle[last]
	if now.Sub(conn.idleSince) > maxIdle {
		return nil
	}
	idle[last] = nil
	p.idle[key] = idle[:last]
	return conn
}

// Put returns a connection to the pool. The connection's PrepareReuse must have returned true.
func (p *Pool) Put(conn *Conn) {
	p.mu.Lock()
	full := len(p.idle[conn.key]) >= maxIdlePerEndpoint
	if !full {
		p.idle[conn.key] = append(p.idle[conn.key], conn)
	}
	p.mu.Unlock()
	if full {
		conn.Close()
	}
}

// Prune closes idle connections that have expired and those that were idle for longer than maxIdle
// returns for the key of their endpoint.
func (p *Pool) Prune(maxIdle func(key string) time.Duration) {
	now := clock.Now()
	var closing []*Conn
	p.mu.Lock()
	for key := range p.idle {
		closing = append(closing, p.removeIdle(key, maxIdle(key), now)...)
	}
	p.mu.Unlock()
	for _, conn := range closing {
		conn.Close()
	}
}

// CloseIdle closes the connections to an endpoint that were idle for at least the given time.
func (p *Pool) CloseIdle(key string, idle time.Duration) {
	p.mu.Lock()
	closing := p.removeIdle(key, idle-1, clock.Now())
	p.mu.Unlock()
	for _, conn := range closing {
		conn.Close()
	}
}

// removeIdle removes and returns the connections to an endpoint that have expired or were idle for
// longer than maxIdle. The caller holds p.mu.
func (p *Pool) removeIdle(key string, maxIdle time.Duration, now clock.Boot) (removed []*Conn) {
	idle := p.idle[key]
	kept := idle[:0]
	for _, conn := range idle {
		if now < conn.idleDeadline && now.Sub(conn.idleSince) <= maxIdle {
			kept = append(kept, conn)
			continue
		}
		removed = append(removed, conn)
	}
	clear(idle[len(kept):])
	p.idle[key] = kept
	if len(kept) == 0 {
		delete(p.idle, key)
	}
	return removed
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, idle := range p.idle {
		count += len(idle)
	}
	return count
}

// setUnackedTimeout sets TCP_USER_TIMEOUT, which limits how long sent bytes may stay
// unacknowledged.
func setUnackedTimeout(_ context.Context, _, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
