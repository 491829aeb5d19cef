package loopback

import (
	"net"
	"slices"
	"testing"
)

func mustReserve(t *testing.T) *Network {
	t.Helper()
	network, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	return network
}

// TestNetworkInUseIsNotReserved guards against "address already in use" at a network whose last user has left a listener.
func TestNetworkInUseIsNotReserved(t *testing.T) {
	for _, kind := range []string{"tcp", "udp"} {
		t.Run(kind, func(t *testing.T) {
			network := mustReserve(t)
			address := network.Prefix + ".0.1:7001"
			left := mustBind(t, kind, address)
			bound, err := network.Bound()
			if err != nil || !slices.Equal(bound, []string{address}) {
				t.Errorf("%v are bound, %v", bound, err)
			}
			network.Close()
			next := mustReserve(t)
			defer next.Close()
			if next.Prefix == network.Prefix {
				t.Errorf("%s was reserved while %s was in use", next.Prefix, address)
			}
			left()
		})
	}
}

// mustBind binds an address and returns the function that frees it.
func mustBind(t *testing.T, kind, address string) func() {
	t.Helper()
	if kind == "tcp" {
		listener, err := net.Listen(kind, address)
		if err != nil {
			t.Fatal(err)
		}
		return func() { listener.Close() }
	}
	conn, err := net.ListenPacket(kind, address)
	if err != nil {
		t.Fatal(err)
	}
	return func() { conn.Close() }
}
