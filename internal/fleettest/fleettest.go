// Package fleettest provides helpers for tests of whole fleets: loopback networks, servers on
// these networks, and waiting for conditions.
package fleettest

import (
	"net"
	"net/http"
	"os/exec"
	"sync"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/loopback"
)

// ReserveNetwork returns the first two octets, as in "127.10", of a loopback network that no
// other test uses until t ends and nothing listens there any more. It fails t if something
// still listens long after the end.
func ReserveNetwork(t testing.TB) string {
	t.Helper()
	network, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { release(t, network) })
	return network.Prefix
}

// release releases a network once nothing listens there any more.
func release(t testing.TB, network *loopback.Network) {
	t.Helper()
	var bound []string
	var err error
	if !Eventually(func() bool {
		bound, err = network.Bound()
		return err == nil && len(bound) == 0
	}) {
		t.Errorf("the addresses %v are still in use after the test, %v", bound, err)
	}
	if err := network.Close(); err != nil {
		t.Error(err)
	}
}

// Serve serves handler at address until t ends.
func Serve(t testing.TB, address string, handler http.Handler) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		_ = listener.Close() // Serve may not have begun.
	})
}

// StartProcess starts a process and kills it when t ends, if it still runs then. The returned
// function waits for its exit and returns the error of Wait; it may be called several times.
func StartProcess(t testing.TB, command *exec.Cmd) (wait func() error) {
	t.Helper()
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	wait = sync.OnceValue(command.Wait)
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = wait()
	})
	return wait
}

// Eventually waits until condition is true and reports whether that happened. It gives up only
// after a much longer time than any healthy run needs.
func Eventually(condition func() bool) bool {
	const looks, period = 2000, 10 * time.Millisecond
	for range looks {
		if condition() {
			return true
		}
		time.Sleep(period)
	}
	return false
}
