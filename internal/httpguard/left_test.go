package httpguard

import (
	"io"
	"net"
	"testing"
)

// TestConnectionOfACallerThatLeftIsClosedByTheCaller closes a connection once it is known that its caller has left.
func TestConnectionOfACallerThatLeftIsClosedByTheCaller(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	far, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(far, "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /unread")
	far.Close()
	near, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn := NewConn(near, func() Limits { return Limits{HeadBytes: MaxHeadBytes} })
	var closure Closure
	conn.OnClose = func(_ *Conn, how Closure) { closure = how }
	if _, err := conn.Read(make([]byte, readSize)); err != nil {
		t.Fatal(err)
	}
	if !conn.CallerLeft() {
		t.Error("the caller has not left")
	}
	conn.Close()
	if want := (Closure{Reason: ClosedByCaller}); closure != want {
		t.Errorf("closed as %+v, want %+v", closure, want)
	}
}
