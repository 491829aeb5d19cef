// Package fleettest provides helpers for tests of whole fleets: loopback networks, servers on
// these networks, and waiting for conditions.
package fleettest

import (
	"net"
	"net/http"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/loopback"
)

// ReserveNetwork returns the first two octets, as in "127.10", of a loopback network that no
// other test uses until t ends.
func ReserveNetwork(t testing.TB) string {
	t.Helper()
	network, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := network.Close(); err != nil {
			t.Error(err)
		}
	})
	return network.Prefix
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
	t.Cleanup(func() { _ = listener.Close() })
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
