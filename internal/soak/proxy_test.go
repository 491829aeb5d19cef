package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkFault is what a soakProxy does with bytes.
type linkFault int32

const (
	linkSound linkFault = iota
	// linkDelayed holds each piece back for a while.
	linkDelayed
	// linkSilent passes nothing on in either way, linkOneWay nothing back.
	linkSilent
	linkOneWay
	linkFaults
)

// soakProxy passes connections on to an address, with faults.
type soakProxy struct {
	target   string
	listener net.Listener
	fault    atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

const (
	soakDelay = 80 * time.Millisecond
	soakPoll  = 20 * time.Millisecond
)

func newSoakProxy(address, target string) (*soakProxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &soakProxy{target: target, listener: listener, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *soakProxy) accept() {
	for {
		caller, err := p.listener.Accept()
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
		go p.pass(server, caller, false)
		go p.pass(caller, server, true)
	}
}

// pass copies one way until either end closes.
func (p *soakProxy) pass(to, from net.Conn, back bool) {
	defer p.drop(to, from)
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		for p.holds(back) {
			time.Sleep(soakPoll)
		}
		if linkFault(p.fault.Load()) == linkDelayed {
			time.Sleep(soakDelay)
		}
		if _, failed := to.Write(buffer[:count]); failed != nil || err != nil {
			return
		}
	}
}

func (p *soakProxy) holds(back bool) bool {
	fault := linkFault(p.fault.Load())
	return fault == linkSilent || (fault == linkOneWay && back)
}

func (p *soakProxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		conn.Close()
		delete(p.conns, conn)
	}
}

// reset ends all connections at once.
func (p *soakProxy) reset() {
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

func (p *soakProxy) close() {
	p.fault.Store(int32(linkSound))
	p.listener.Close()
	p.reset()
}
