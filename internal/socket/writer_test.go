package socket

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"cardamompoint.example/cardamompoint/internal/fleettest"
)

// unreadBytes is more than the buffers of a connection hold.
const unreadBytes = 32 << 20

// TestErrorOfAResetThatAWriteGotIsKept guards against a reset that looks like an orderly end to the reader.
func TestErrorOfAResetThatAWriteGotIsKept(t *testing.T) {
	near, far := fleettest.Connect(t)
	writer := NewWriter(near)
	written := writeInBackground(writer)
	io.WriteString(far, "part")
	_ = far.SetLinger(0)
	far.Close()
	if err := <-written; !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("the write ended with %v", err)
	}
	if text, err := io.ReadAll(near); string(text) != "part" || err != nil {
		t.Fatalf("read %q, %v; the system tells both sides", text, err)
	}
	if err := writer.ReadError(io.EOF); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %v", err)
	}
}

// TestOrderlyEndIsNoErrorDuringAWrite closes the sending half of the peer, which reads nothing: that must end the write.
func TestOrderlyEndIsNoErrorDuringAWrite(t *testing.T) {
	near, far := fleettest.Connect(t)
	writer := NewWriter(near)
	written := writeInBackground(writer)
	io.WriteString(far, "whole")
	_ = far.CloseWrite()
	if text, err := io.ReadAll(near); string(text) != "whole" || err != nil {
		t.Fatalf("read %q, %v", text, err)
	}
	if err := writer.ReadError(io.EOF); err != io.EOF {
		t.Errorf("got %v", err)
	}
	if err := <-written; err == nil {
		t.Error("the write succeeded")
	}
}

func writeInBackground(writer *Writer) (written chan error) {
	written = make(chan error, 1)
	go func() {
		_, err := writer.WriteAll(net.Buffers{make([]byte, unreadBytes)})
		written <- err
	}()
	return written
}
