package socket

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"cardamompoint.example/cardamompoint/internal/fleettest"
)

// TestLooksLeaveTheErrorOfAReset guards against a reset that looks like an orderly end, as a look at the connection took its error.
func TestLooksLeaveTheErrorOfAReset(t *testing.T) {
	for name, look := range map[string]func(net.Conn) bool{
		"IsSilent":  func(conn net.Conn) bool { return !IsSilent(conn) },
		"HasUnread": func(conn net.Conn) bool { return !HasUnread(conn) },
		"HasEnded":  HasEnded,
		"AwaitEnd":  func(conn net.Conn) bool { return AwaitEnd(conn) == io.EOF },
		"AwaitPeer": func(conn net.Conn) bool { AwaitPeer(conn); return true },
	} {
		near, far := fleettest.Connect(t)
		_ = far.SetLinger(0)
		far.Close()
		AwaitPeer(near)
		if !look(near) {
			t.Errorf("%s: the reset is not seen", name)
		}
		if _, err := near.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%s: the read returns %v", name, err)
		}
	}
}

// TestUnreadBytesBeforeAResetAreSeen looks at a connection that was reset after bytes were sent on it.
func TestUnreadBytesBeforeAResetAreSeen(t *testing.T) {
	near, far := fleettest.Connect(t)
	io.WriteString(far, "part")
	awaitSound(t, near)
	_ = far.SetLinger(0)
	far.Close()
	if err := AwaitEnd(near); err != io.EOF || !HasUnread(near) || IsSilent(near) || !HasEnded(near) {
		t.Errorf("%v, unread: %t, silent: %t, ended: %t", err, HasUnread(near), IsSilent(near), HasEnded(near))
	}
	if text, err := io.ReadAll(near); string(text) != "part" || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read %q, %v", text, err)
	}
}
