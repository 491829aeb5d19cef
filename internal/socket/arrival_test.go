package socket

import (
	"io"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/fleettest"
)

// TestSinceArrivalTellsHowLongBytesLieUnread leaves bytes unread for a while, reads them, and looks again.
func TestSinceArrivalTellsHowLongBytesLieUnread(t *testing.T) {
	near, far := fleettest.Connect(t)
	io.WriteString(far, "x")
	awaitSound(t, near)
	const unread = 300 * time.Millisecond
	time.Sleep(unread)
	if _, err := near.Read(make([]byte, 2)); err != nil {
		t.Fatal(err)
	}
	// The system counts in ticks of up to 10 ms.
	if age, ok := SinceArrival(near); !ok || age < unread-10*time.Millisecond {
		t.Errorf("got %v, %v, want at least %v", age, ok, unread)
	}
}
