package socket

import (
	"io"
	"net"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/fleettest"
)

// TestUnreadBytesAndTheEndOfAConnectionBreakSilence looks at an open, a written and a closed connection.
func TestUnreadBytesAndTheEndOfAConnectionBreakSilence(t *testing.T) {
	near, far := fleettest.Connect(t)
	if !IsSilent(near) {
		t.Error("a new connection is not silent")
	}
	io.WriteString(far, "x")
	awaitSound(t, near)
	if count, err := near.Read(make([]byte, 2)); count != 1 || err != nil || !IsSilent(near) {
		t.Errorf("read %d bytes, %v; silent: %v", count, err, IsSilent(near))
	}
	far.Close()
	awaitSound(t, near)
	near.Close()
	if IsSilent(near) {
		t.Error("a closed connection is silent")
	}
}

// awaitSound waits until a connection is not silent.
func awaitSound(t *testing.T, conn net.Conn) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); IsSilent(conn); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection stayed silent")
		}
	}
}
