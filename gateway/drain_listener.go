package gateway

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// acceptWait is how long a listener that is drained waits for one more connection.
	acceptWait = 20 * time.Millisecond
	// drainWait bounds the time to drain a listener, even if no goroutine accepts from it.
	drainWait = time.Second
)

// drainListener is a listener that hands out the connections that wait in it before it is closed: the
// system would reset them. It must be accepted from by one goroutine. Drain may be called once.
type drainListener struct {
	net.Listener
	// drained is closed once no connection is left, and the listener has been closed.
	drained chan struct{}

	mu       sync.Mutex
	draining bool
	// waiting is the number of connections that were accepted while the listener was drained.
	waiting int
}

func newDrainListener(l net.Listener) *drainListener {
	return &drainListener{Listener: l, drained: make(chan struct{})}
}

// Drain lets Accept return the connections that wait, closes the listener and returns their number.
func (d *drainListener) Drain() int {
	if d.beginDrain() {
		select {
		case <-d.drained:
		case <-time.After(drainWait):
		}
	}
	_ = d.Listener.Close() // It may be closed already.
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.waiting
}

// beginDrain wakes Accept. It returns false if the listener can't do that.
func (d *drainListener) beginDrain() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
	return d.setDeadline(time.Unix(1, 0))
}

// Accept waits for the next connection. While the listener is drained it closes the listener when none
// is left.
func (d *drainListener) Accept() (net.Conn, error) {
	for {
		draining := d.extend()
		conn, err := d.Listener.Accept()
		if err == nil {
			d.count(draining)
			return conn, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if draining {
			_ = d.Listener.Close() // Nobody is left to handle the error.
			close(d.drained)
			return nil, net.ErrClosed
		}
	}
}

// extend gives a listener that is drained time for one more connection. It returns whether the
// listener is drained.
func (d *drainListener) extend() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		d.setDeadline(time.Now().Add(acceptWait))
	}
	return d.draining
}

// count counts a connection that was accepted.
func (d *drainListener) count(draining bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if draining {
		d.waiting++
	}
}

// setDeadline sets the deadline for Accept. It returns false if the listener has none.
func (d *drainListener) setDeadline(at time.Time) bool {
	l, ok := d.Listener.(interface{ SetDeadline(time.Time) error })
	return ok && l.SetDeadline(at) == nil
}
