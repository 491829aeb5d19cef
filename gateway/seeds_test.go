package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/gossip"
)

// TestLaterStartReadsNothing starts a VM while others run: it must get all data from a seed,
// and then follow the VM that reads the store.
func TestLaterStartReadsNothing(t *testing.T) {
	f := newTestFleet(t, 2)
	// Long enough for a running seed to respond even on a busy machine.
	f.startTimeouts = startTimeouts{seeds: 20 * time.Second, reports: 20 * time.Second}
	reads := f.countRangeReads()
	number := f.lowerRankedNumber()
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
	if reads.Load() > 0 {
		t.Errorf("%d range calls, although a seed has all data", reads.Load())
	}
}

// countRangeReads gives VMs that start from now on a separate address of the store and counts
// the range calls there. Calls of the other VMs, which may still be starting, don't count.
func (f *testFleet) countRangeReads() *atomic.Int64 {
	var reads atomic.Int64
	f.storeHost++
	f.listen(f.address(f.storeHost, storePort), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/-/kv-range" {
			reads.Add(1)
		}
		f.store.ServeHTTP(w, r)
	}))
	return &reads
}

// lowerRankedNumber returns the number of a VM that ranks after the best of the first two VMs for reading the
// store. Numbers from endpointHosts on are those of endpoints.
func (f *testFleet) lowerRankedNumber() int {
	f.t.Helper()
	const endpointHosts = 100
	best := f.gateways[0].ownRank()
	if second := f.gateways[1].ownRank(); second.Before(best) {
		best = second
	}
	for number := 3; number < endpointHosts; number++ {
		ip := fmt.Sprintf("%s.0.%d", f.network, number)
		if best.Before(gossip.RankOf(ip, f.gateways[0].settings.Capacity)) {
			return number
		}
	}
	f.t.Fatalf("no VM in %s ranks after the first two", f.network)
	return 0
}

// TestStartWithoutSeedsReadsTheStore starts a VM whose seeds are not running.
func TestStartWithoutSeedsReadsTheStore(t *testing.T) {
	f := newTestFleet(t, 2)
	for i := range f.stops {
		f.stops[i]()
		<-f.done[i]
		f.done[i] <- nil // The cleanup function receives from it again.
	}
	f.start(3)
	f.eventually("the VM is ready", func() bool { return f.ready(3) == http.StatusOK })
}

// TestStartBesideSilentSeedsReadsTheStore starts a VM whose seeds accept queries but never
// respond.
func TestStartBesideSilentSeedsReadsTheStore(t *testing.T) {
	f := newTestFleet(t, 0)
	ctx, answer := context.WithCancel(context.Background())
	t.Cleanup(answer)
	silent := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-ctx.Done() })
	for _, seed := range []int{1, 2} {
		f.listen(f.address(seed, peerPort), silent)
		f.listen(f.address(seed, controlPort), silent)
	}
	f.start(3)
	f.eventually("the VM is ready", func() bool { return f.ready(3) == http.StatusOK })
	if f.store.RangeCalls() == 0 {
		t.Error("the store was not read")
	}
}
