package fleettest

import (
	"net"
	"testing"
)

// Connect returns the two ends of a new TCP connection, which are closed when t ends.
func Connect(t testing.TB) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		dialed.Close()
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close(); dialed.Close() })
	return accepted.(*net.TCPConn), dialed.(*net.TCPConn)
}
