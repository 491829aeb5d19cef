package main

import (
	"net"
	"sync"
	"testing"
)

// relay is a TCP proxy between two loopback addresses that can mute or close its
// connections.
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
		r.closeAll()
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
		go r.forward(conn)
	}
}

func (r *relay) forward(conn net.Conn) {
	upstream, err := net.Dial("tcp", r.target)
	if err != nil {
		conn.Close()
		return
	}
	r.mu.Lock()
	r.conns = append(r.conns, conn, upstream)
	muted := r.muted
	r.mu.Unlock()
	go copyUntil(muted, conn, upstream)
	copyUntil(muted, upstream, conn)
}

// copyUntil copies bytes until the connection closes. Once muted is closed, it drops the
// bytes, and neither side learns that the other one closed.
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

// mute mutes all open connections permanently; new ones work.
func (r *relay) mute() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.muted)
	r.muted = make(chan struct{})
}

// closeAll closes all open connections; new ones work.
func (r *relay) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.conns {
		conn.Close()
	}
	r.conns = nil
}
