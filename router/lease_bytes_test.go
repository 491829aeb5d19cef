package router

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"cardamompoint.example/cardamompoint/internal/jsonhttp"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/peer"
	"cardamompoint.example/cardamompoint/router/settings"
)

// bytesPerExchange returns the bytes of one exchange on an open connection,
// averaged over several exchanges.
func bytesPerExchange(t *testing.T, handler http.Handler, exchange func(transport *http.Transport, address string) error) int64 {
	t.Helper()
	const exchanges = 20
	server := httptest.NewServer(handler)
	defer server.Close()
	var bytes peer.ByteCounter
	transport := peer.NewTransport(&bytes)
	defer transport.CloseIdleConnections()
	for range exchanges {
		if err := exchange(transport, strings.TrimPrefix(server.URL, "http://")); err != nil {
			t.Fatal(err)
		}
	}
	return bytes.Total() / exchanges
}

// TestAdmissionControlBytes bounds the traffic of leases and load reports to half
// of the 13 KB/s that a VM may spend on control traffic.
func TestAdmissionControlBytes(t *testing.T) {
	const mostPerSecond = 13000 / 2
	f := newSplitFleet(t)
	self := f.routers[0].members.Self()
	secret := f.routers[0].settings.Secret
	leases := peer.Handle(secret, func(context.Context, leaseRequest) (leaseAnswer, error) {
		return leaseAnswer{Granted: true}, nil
	})
	lease := bytesPerExchange(t, leases, func(transport *http.Transport, address string) error {
		client := peer.NewClient(secret, transport)
		return client.Post(t.Context(), address, leasePath, leaseRequest{From: self}, nil)
	})
	loads := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, endpoint.Load{Requests: 32, Tokens: 32768, Models: []string{"dossier-writer"}})
	})
	load := bytesPerExchange(t, loads, func(transport *http.Transport, address string) error {
		_, err := endpoint.NewEngineClient(transport, pollTimeout, pollTimeout).Load(t.Context(), address)
		return err
	})
	timing := settings.Defaults().Timing
	period := leaseDuration(milliseconds(timing.SuspectMS)) / leaseRenewalDivisor
	// A router requests its own lease and answers the request of another router.
	perSecond := 2*float64(lease)/period.Seconds() + float64(maxPollsPerPeriod*load)*1000/float64(timing.LoadReportMS)
	t.Logf("a lease takes %d bytes, a load report %d, together %.0f bytes a second", lease, load, perSecond)
	if perSecond > mostPerSecond {
		t.Errorf("leases and load reports take %.0f bytes a second, %d are allowed", perSecond, mostPerSecond)
	}
}
