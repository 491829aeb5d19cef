package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// requestsSince returns the number of requests that an endpoint has received since a time.
func requestsSince(worker *hosted.Worker, from time.Time) int {
	count := 0
	for _, seen := range worker.Seen() {
		if seen.ReceivedAt.After(from) {
			count++
		}
	}
	return count
}

// TestEndpointWithNamedLimitGetsNoMoreFromAllVMs lets one of two endpoints name a limit while
// three VMs send more: all together must keep it, the other endpoint serves the rest, and once
// the limit is lifted the endpoint serves what another one, limited since, does not take.
func TestEndpointWithNamedLimitGetsNoMoreFromAllVMs(t *testing.T) {
	const gateways, window, slack = 3, 4 * time.Second, 5
	const perSecond = 3.0
	// lastRequests is how many requests are sent after the limit was lifted, leastServed how
	// many of them the endpoint gets at least.
	const lastRequests, leastServed = 100, 14
	f := newTestFleet(t, gateways)
	limited := f.workers["plain-1"]
	sendOne := func(number int) {
		got := f.ask(context.Background(), 1+number%gateways, query{path: "/lookup/1", body: "work"})
		if got.status != 200 {
			t.Errorf("a request ended with status %d", got.status)
		}
		time.Sleep(10 * time.Millisecond)
	}
	send := func(from time.Time, duration time.Duration) {
		for number := 0; time.Since(from) < duration; number++ {
			sendOne(number)
		}
	}
	limited.SetLimit(fmt.Sprint(perSecond))
	send(time.Now(), time.Second)
	from := time.Now()
	send(from, window)
	if got, limit := requestsSince(limited, from), int(1.5*perSecond*window.Seconds())+slack; got > limit || got == 0 {
		t.Errorf("the endpoint got %d requests in %v, want 1 to %d", got, window, limit)
	}
	limited.SetLimit("")
	send(time.Now(), 3*time.Second)
	f.workers["plain-2"].SetLimit(fmt.Sprint(perSecond))
	send(time.Now(), time.Second)
	from = time.Now()
	for number := range lastRequests {
		sendOne(number)
	}
	if got := requestsSince(limited, from); got < leastServed {
		t.Errorf("the endpoint got %d of %d requests after it lifted its limit, want %d", got, lastRequests, leastServed)
	}
}
