package gateway

import (
	"cardamompoint.example/cardamompoint/gateway/news"
	"fmt"
	"net/http"
	"testing"
)

// TestLaterStartReadsNothing starts a VM while others run: a seed tells it all, and it
// follows the one that reads the store.
func TestLaterStartReadsNothing(t *testing.T) {
	f := newTestFleet(t, 2)
	before := f.store.Ranges()
	number := f.followingNumber()
	f.start(number)
	f.eventually("the VM is ready", func() bool { return f.ready(number) == http.StatusOK })
	g := f.gateways[2]
	if got := len(g.tracker.Snapshot().Endpoints); got != len(f.workers) {
		t.Errorf("%d endpoints are known of %d", got, len(f.workers))
	}
	f.eventually("it follows another VM", func() bool {
		_, follows := g.Leader()
		return follows
	})
	if reads := f.store.Ranges() - before; reads > 0 {
		t.Errorf("%d calls read what a seed knew", reads)
	}
}

// followingNumber returns the number of a VM that ranks behind the first one for
// reading the store.
func (f *testFleet) followingNumber() int {
	first := f.gateways[0].ownRank()
	for number := 3; ; number++ {
		ip := fmt.Sprintf("%s.0.%d", f.network.Prefix, number)
		if first.Before(news.RankOf(ip, f.gateways[0].settings.Capacity)) {
			return number
		}
	}
}

// TestStartWithoutSeedsReadsTheStore starts a VM whose seeds are away.
func TestStartWithoutSeedsReadsTheStore(t *testing.T) {
	f := newTestFleet(t, 2)
	for i := range f.stops {
		f.stops[i]()
		<-f.done[i]
		f.done[i] <- nil // The clean-up waits for it again.
	}
	f.start(3)
	f.eventually("the VM is ready", func() bool { return f.ready(3) == http.StatusOK })
}
