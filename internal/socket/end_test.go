package socket

import (
	"errors"
	"io"
	"os"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/fleettest"
)

// TestEndBehindUnreadBytesIsSeen closes, half closes and resets connections with and without unread bytes.
func TestEndBehindUnreadBytesIsSeen(t *testing.T) {
	for _, text := range []string{"", "unread"} {
		for how, linger := range map[string]int{"close": -1, "reset": 0} {
			near, far := fleettest.Connect(t)
			io.WriteString(far, text)
			if HasEnded(near) {
				t.Errorf("%q, %s: an open connection has ended", text, how)
			}
			_ = near.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			if err := AwaitEnd(near); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("%q, %s: awaiting the end of an open connection: %v", text, how, err)
			}
			_ = near.SetReadDeadline(time.Time{})
			time.AfterFunc(20*time.Millisecond, func() {
				_ = far.SetLinger(linger)
				far.Close()
			})
			if err := AwaitEnd(near); err != io.EOF || !HasEnded(near) {
				t.Errorf("%q, %s: %v, ended: %v", text, how, err, HasEnded(near))
			}
		}
	}
}

// TestHalfCloseIsAnEnd closes the sending half of a connection.
func TestHalfCloseIsAnEnd(t *testing.T) {
	near, far := fleettest.Connect(t)
	io.WriteString(far, "unread")
	_ = far.CloseWrite()
	if err := AwaitEnd(near); err != io.EOF {
		t.Error(err)
	}
}
