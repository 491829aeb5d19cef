package fleettest

import (
	"net"
	"testing"
)

// LateListener is a listener whose connections wait until they are let in, as if its process stood still.
type LateListener struct {
	net.Listener
	letIn chan struct{}
}

// ListenLate listens at address until t ends.
func ListenLate(t testing.TB, address string) *LateListener {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	late := &LateListener{Listener: listener, letIn: make(chan struct{})}
	t.Cleanup(func() {
		_ = listener.Close()
		close(late.letIn)
	})
	return late
}

// LetIn lets one connection in. It waits until somebody accepts it.
func (l *LateListener) LetIn() {
	l.letIn <- struct{}{}
}

// Accept waits until a connection is let in, and returns it.
func (l *LateListener) Accept() (net.Conn, error) {
	<-l.letIn
	return l.Listener.Accept()
}
