package soak

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

const (
	// reportPort is the UDP port of reports in the settings of all VMs.
	reportPort = 7010
	// forgingTime is how long callers send requests while reports are forged.
	forgingTime = 3 * time.Second
	// forgedRequests is the number of requests that a forged report claims at each endpoint.
	forgedRequests = 1000
)

// TestForgedReportsChangeNothing sends reports to the processes of a fleet from addresses that
// are none of its VMs: forged ones that name a VM as their sender, the same ones repeated, and
// garbled ones. A VM that believed them would take its peers for leaving and all endpoints for
// overloaded, and refuse requests. What callers see must not change.
func TestForgedReportsChangeNothing(t *testing.T) {
	s := newSoak(t, 1)
	ctx, cancel := context.WithCancel(context.Background())
	var senders sync.WaitGroup
	defer senders.Wait()
	defer cancel()
	sent := s.forgeReports(ctx, &senders)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}
	for began, count := time.Now(), 0; time.Since(began) < forgingTime; count++ {
		path := callPaths[count%(len(callPaths)-1)]
		call := s.ask(client, callRecord{id: s.newID(), path: path, key: hosted.Key, gateway: count % len(s.gateways)}, 0)
		if call.status != http.StatusOK || !call.complete {
			t.Errorf("%s at VM %d got status %d, complete %v", path, call.gateway, call.status, call.complete)
		}
	}
	if !s.allReady() {
		t.Error("a VM is not ready")
	}
	s.checkConfigChange()
	s.checkDraining()
	s.checkResources()
	s.checkHistory()
	if count := sent(); count < 100 {
		t.Errorf("only %d datagrams were sent to the VMs", count)
	}
}

// forgeReports sends reports in the name of each VM to the others, and copies of them whole,
// twice, truncated and with a changed byte, until ctx ends. sent returns the number of datagrams
// sent by the copier.
func (s *soak) forgeReports(ctx context.Context, senders *sync.WaitGroup) (sent func() int) {
	forger, copier := s.listenUDP(s.net+".249.1"), s.listenUDP(s.net+".249.2")
	for victim := range s.gateways {
		targets := []string{s.net + ".249.2"}
		for other := range s.gateways {
			if other != victim {
				targets = append(targets, s.ip(other))
			}
		}
		exchange := gossip.NewExchange(gossip.ExchangeOptions{
			Table:      gossip.NewTable(s.ip(victim), targets),
			Conn:       forger,
			Identity:   gossip.Report{Address: s.ip(victim), Incarnation: time.Now().Add(time.Hour).UnixMilli(), FailureDomain: "domain-a"},
			FillReport: s.fillForgedReport,
			OnLost:     func(string) {},
		})
		senders.Go(func() { exchange.Send(ctx) })
	}
	count := 0
	done := make(chan struct{})
	context.AfterFunc(ctx, func() { _ = copier.Close() })
	go func() {
		defer close(done)
		count = s.copyReports(copier)
	}()
	return func() int {
		_ = copier.Close()
		<-done
		return count
	}
}

// fillForgedReport claims that the sender leaves, knows the newest changes, and has much work
// in progress at all endpoints, which fail all requests.
func (s *soak) fillForgedReport(report *gossip.Report) {
	report.Leaving = true
	report.ConfigVersion, report.Newest = 1<<40, traffic.Position{Era: 1 << 40, Revision: 1 << 40}
	for _, slot := range s.slots {
		id := slot.worker.Load().ID
		report.Work = append(report.Work, gossip.EndpointWork{Endpoint: id, Requests: forgedRequests, PrefillTokens: 1 << 30})
		report.Outcomes = append(report.Outcomes, gossip.EndpointOutcomes{Endpoint: id, Failed: forgedRequests * gossip.OutcomeUnits})
	}
}

// copyReports sends copies of each datagram that arrives to all VMs until conn is closed, and
// returns how many it sent.
func (s *soak) copyReports(conn *net.UDPConn) (sent int) {
	buffer := make([]byte, 1<<16)
	for {
		size, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return sent
		}
		raw := buffer[:size]
		garbled := append([]byte(nil), raw...)
		garbled[size/3] ^= 0x55
		for i := range s.gateways {
			to := netip.AddrPortFrom(netip.MustParseAddr(s.ip(i)), reportPort)
			for _, datagram := range [][]byte{raw, raw, raw[:size/2], garbled} {
				if _, err := conn.WriteToUDPAddrPort(datagram, to); err == nil {
					sent++
				}
			}
		}
	}
}

// listenUDP listens on the port of reports until the test ends.
func (s *soak) listenUDP(ip string) *net.UDPConn {
	s.t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: reportPort})
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	return conn
}
