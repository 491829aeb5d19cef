package fleettest

import (
	"errors"
	"net"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// TestNetworkIsReleasedOnlyOnceNothingListens guards against the next test's "address already in use" after an end that was not awaited.
func TestNetworkIsReleasedOnlyOnceNothingListens(t *testing.T) {
	const lateClose = time.Second
	var address string
	t.Run("leaves a listener", func(t *testing.T) {
		address = ReserveNetwork(t) + ".0.1:7001"
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { time.AfterFunc(lateClose, func() { listener.Close() }) })
	})
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
}

// TestServedConnectionsEndWithTheTest guards against stand-ins that go on answering on open connections after their test.
func TestServedConnectionsEndWithTheTest(t *testing.T) {
	var conn net.Conn
	t.Run("serves", func(t *testing.T) {
		address := ReserveNetwork(t) + ".0.1:7001"
		Serve(t, address, http.NotFoundHandler())
		var err error
		if conn, err = net.Dial("tcp", address); err != nil {
			t.Fatal(err)
		}
		ask(t, conn)
	})
	defer conn.Close()
	if _, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection is still served: %v", err)
	}
}

// ask sends a request and reads the start of its answer.
func ask(t *testing.T, conn net.Conn) {
	t.Helper()
	if _, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1<<12)); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
}

// TestStartedProcessEndsWithTheTest guards against processes that outlive their test.
func TestStartedProcessEndsWithTheTest(t *testing.T) {
	command := exec.Command("sleep", "600")
	t.Run("starts", func(t *testing.T) { StartProcess(t, command) })
	if command.ProcessState == nil {
		t.Error("the exit was not awaited")
	}
}

// TestStoppedProcessDoesNothingMore guards against processes that still answer after their test has stopped them.
func TestStoppedProcessDoesNothingMore(t *testing.T) {
	const stops = 200
	command := exec.Command("sh", "-c", "while :; do :; done")
	StartProcess(t, command)
	running := 0
	for range stops {
		StopProcess(t, command.Process)
		if !hasStopped(command.Process.Pid) {
			running++
		}
		if err := command.Process.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
	}
	if running > 0 {
		t.Errorf("the process still ran after %d of %d stops", running, stops)
	}
}
