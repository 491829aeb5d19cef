package main

import (
	"net"
	"sync"
	"testing"
)

// relay passes connections on from one loopback address to another one and can
// let them go silent or cut them.
type relay struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	conns []net.Conn
	muted chan struct{}
}

func startRelay(t testing.TB, listen, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{target: target, listener: listener, muted: make(chan struct{})}
	t.Cleanup(func() {
		listener.Close()
		r.cut()
	})
	go r.serve()
	return r
}

func (r *relay) serve() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.pass(conn)
	}
}

func (r *relay) pass(conn net.Conn) {
	other, err := net.Dial("tcp", r.target)
	if err != nil {
		conn.Close()
		return
	}
	r.mu.Lock()
	r.conns = append(r.conns, conn, other)
	muted := r.muted
	r.mu.Unlock()
	go copyUntil(muted, conn, other)
	copyUntil(muted, other, conn)
}

// copyUntil copies bytes until the connection ends. Once muted is closed, bytes
// vanish and neither side learns of an end.
func copyUntil(muted <-chan struct{}, to, from net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		select {
		case <-muted:
			if err != nil {
				return
			}
			continue
		default:
		}
		if err != nil {
			to.Close()
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			from.Close()
			return
		}
	}
}

// mute lets all open connections go silent for good; new ones work.
func (r *relay) mute() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.muted)
	r.muted = make(chan struct{})
}

// cut closes all open connections; new ones work.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.conns {
		conn.Close()
	}
	r.conns = nil
}
