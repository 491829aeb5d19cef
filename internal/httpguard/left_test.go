package httpguard

import (
	"io"
	"testing"

	"cardamompoint.example/cardamompoint/internal/socket"
)

// TestConnectionOfACallerThatLeftIsClosedByTheCaller closes a connection once it is known that its caller has left.
func TestConnectionOfACallerThatLeftIsClosedByTheCaller(t *testing.T) {
	pair := newConnPair(t, func() Limits { return Limits{HeadBytes: MaxHeadBytes} })
	io.WriteString(pair.caller, testRequest+"GET /unread")
	if _, err := pair.server.Read(make([]byte, readSize)); err != nil {
		t.Fatal(err)
	}
	pair.caller.Close()
	if err := socket.AwaitEnd(pair.server.Conn); err != io.EOF || !pair.server.CallerLeft() {
		t.Errorf("the caller has not left: %v", err)
	}
	pair.server.Close()
	if closure, want := <-pair.closed, (Closure{Reason: ClosedByCaller}); closure != want {
		t.Errorf("closed as %+v, want %+v", closure, want)
	}
}
