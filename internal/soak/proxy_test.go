package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkFault is the fault that a faultProxy applies to the bytes that it forwards.
type linkFault int32

const (
	linkHealthy linkFault = iota
	// linkDelayed delays each read by linkDelay.
	linkDelayed
	// linkSilent forwards nothing in either direction, linkOneWay nothing to the caller.
	linkSilent
	linkOneWay
	linkFaults
)

// faultProxy is a TCP proxy that injects faults.
type faultProxy struct {
	target   string
	listener net.Listener
	fault    atomic.Int32
	// forgetTime is how long a connection may be idle, in nanoseconds, until the next bytes of its
	// caller reset it; 0 for ever. forgotten counts such resets. Every second time the bytes reach the
	// server all the same.
	forgetTime atomic.Int64
	forgotten  atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]bool
	// isClosed reports whether the proxy refuses connections.
	isClosed bool
}

const (
	linkDelay         = 80 * time.Millisecond
	blockedPollPeriod = 20 * time.Millisecond
)

func newFaultProxy(address, target string) (*faultProxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &faultProxy{target: target, listener: listener, conns: map[net.Conn]bool{}}
	go p.accept(listener)
	return p, nil
}

// down resets all connections and refuses new ones, like a process that has crashed.
func (p *faultProxy) down() {
	p.mu.Lock()
	p.isClosed = true
	p.listener.Close()
	p.mu.Unlock()
	p.reset()
}

// isDown reports whether the proxy refuses connections.
func (p *faultProxy) isDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isClosed
}

// up accepts connections again.
func (p *faultProxy) up() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	listener, err := net.Listen("tcp", p.listener.Addr().String())
	if err != nil {
		return err
	}
	p.listener, p.isClosed = listener, false
	go p.accept(listener)
	return nil
}

func (p *faultProxy) accept(listener net.Listener) {
	for {
		caller, err := listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			caller.Close()
			continue
		}
		p.mu.Lock()
		p.conns[caller], p.conns[server] = true, true
		p.mu.Unlock()
		lastByte := &atomic.Int64{}
		lastByte.Store(time.Now().UnixNano())
		go p.forward(server, caller, false, lastByte)
		go p.forward(caller, server, true, lastByte)
	}
}

// forward copies one direction until either end closes. lastByte is when the connection was last used
// in either direction, in Unix nanoseconds.
func (p *faultProxy) forward(to, from net.Conn, toCaller bool, lastByte *atomic.Int64) {
	defer p.closeConns(to, from)
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if idle := time.Now().UnixNano() - lastByte.Swap(time.Now().UnixNano()); count > 0 && !toCaller && p.forgets(idle) {
			_ = from.(*net.TCPConn).SetLinger(0)
			if p.forgotten.Add(1)%2 == 0 {
				_, _ = to.Write(buffer[:count])
			}
			return
		}
		for p.blocks(toCaller) {
			time.Sleep(blockedPollPeriod)
		}
		if linkFault(p.fault.Load()) == linkDelayed {
			time.Sleep(linkDelay)
		}
		if _, writeErr := to.Write(buffer[:count]); writeErr != nil || err != nil {
			return
		}
	}
}

// forgets reports whether a connection that was idle for the given time is forgotten.
func (p *faultProxy) forgets(idle int64) bool {
	limit := p.forgetTime.Load()
	return limit > 0 && idle >= limit
}

func (p *faultProxy) blocks(toCaller bool) bool {
	fault := linkFault(p.fault.Load())
	return fault == linkSilent || (fault == linkOneWay && toCaller)
}

func (p *faultProxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		conn.Close()
		delete(p.conns, conn)
	}
}

// reset resets all connections.
func (p *faultProxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
	clear(p.conns)
}

func (p *faultProxy) close() {
	p.fault.Store(int32(linkHealthy))
	p.down()
}
