package reuse

import (
	"fmt"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

func endpoint(number int) *traffic.Endpoint {
	return &traffic.Endpoint{ID: fmt.Sprint("e-", number), StartedMS: 1, Service: "s"}
}

const (
	idle  = 800 * time.Millisecond
	start = clock.Boot(time.Hour)
)

// TestResetsOfSeveralEndpointsConcernTheService records resets at one endpoint after the other of
// services of different sizes: requests that must not fail avoid old connections to the others once
// enough endpoints reset theirs.
func TestResetsOfSeveralEndpointsConcernTheService(t *testing.T) {
	for _, c := range []struct{ endpoints, enough int }{{2, 2}, {18, 2}, {50, 2}, {140, 6}, {1000, 40}} {
		r := New()
		other := endpoint(0)
		for i := 1; i <= c.enough; i++ {
			if got := r.MaxIdle(other, c.endpoints, true, start); got != Unlimited {
				t.Errorf("%d endpoints: %v after resets of %d", c.endpoints, got, i-1)
			}
			r.Record(endpoint(i), idle, start)
		}
		if got := r.MaxIdle(other, c.endpoints, true, start); got >= idle {
			t.Errorf("%d endpoints: %v after resets of %d", c.endpoints, got, c.enough)
		}
		if got := r.MaxIdle(other, c.endpoints, false, start); got != Unlimited {
			t.Errorf("%d endpoints: %v for a request that may be sent once more", c.endpoints, got)
		}
		elsewhere := &traffic.Endpoint{ID: "x", Service: "another"}
		if got := r.MaxIdle(elsewhere, c.endpoints, true, start); got != Unlimited {
			t.Errorf("%d endpoints: %v at another service", c.endpoints, got)
		}
	}
}

// TestResetConcernsItsEndpointForAWhile records one reset: it counts for the endpoint alone, for all
// requests, until it is too old, and not for the endpoint's next start.
func TestResetConcernsItsEndpointForAWhile(t *testing.T) {
	r := New()
	r.Record(endpoint(1), idle, start)
	restarted := endpoint(1)
	restarted.StartedMS++
	end := start.Add(memory)
	for name, c := range map[string]struct {
		endpoint *traffic.Endpoint
		at       clock.Boot
		limited  bool
	}{
		"at once":        {endpoint(1), start, true},
		"later":          {endpoint(1), end, true},
		"other endpoint": {endpoint(2), start, false},
		"next start":     {restarted, start, false},
	} {
		for _, final := range []bool{true, false} {
			if got := r.MaxIdle(c.endpoint, 2, final, c.at); (got < idle) != c.limited {
				t.Errorf("%s, final %v: %v", name, final, got)
			}
		}
	}
	if got := r.MaxIdle(endpoint(1), 2, true, end.Add(1)); got != Unlimited || r.InForce(end.Add(1)) != 0 {
		t.Errorf("%v after it is too old", got)
	}
}

// TestResetOfAConnectionInUseDoesNotCount records resets of new connections and of some that were hardly
// idle, beside those of idle ones: neither their endpoints nor a service with as many are suspected.
func TestResetOfAConnectionInUseDoesNotCount(t *testing.T) {
	for _, early := range []time.Duration{0, minIdle - 1} {
		r := New()
		for i := range 4 {
			r.Record(endpoint(i), idle, start)
		}
		for i := range 2 {
			r.Record(endpoint(i), early, start)
		}
		if got := r.MaxIdle(endpoint(0), 4, false, start); got != Unlimited || r.InForce(start) != 2 {
			t.Errorf("%v at an endpoint that resets others, too; %d endpoints count", got, r.InForce(start))
		}
		if got := r.MaxIdle(endpoint(9), 4, true, start); got != Unlimited {
			t.Errorf("%v at a service with as many that reset others, too", got)
		}
		r.Record(endpoint(5), idle, start)
		if got := r.MaxIdle(endpoint(9), 4, true, start); got >= idle {
			t.Errorf("%v at a service with most that reset idle ones alone", got)
		}
	}
}

// TestResetsFadeWhileVMsRelayThem lets VMs tell each other of a reset for as long as they know of it, with
// reports that are on their way for a while: all must know it and forget it when it is too old.
func TestResetsFadeWhileVMsRelayThem(t *testing.T) {
	const (
		count = 8
		step  = 25 * time.Millisecond
		// delay is the time of a report on its way, in steps.
		delay = 2
	)
	var vms []*Resets
	for range count {
		vms = append(vms, New())
	}
	vms[0].Record(endpoint(1), idle, start)
	var reports []gossip.Report
	for turn := 0; ; turn++ {
		now := start.Add(time.Duration(turn) * step)
		var report gossip.Report
		vms[turn%count].FillReport(&report, now)
		reports = append(reports, report)
		known := 0
		for _, vm := range vms {
			if turn >= delay {
				vm.ApplyReport(reports[turn-delay], now)
			}
			known += int(vm.InForce(now))
		}
		switch age := now.Sub(start); {
		case age > time.Second && age < memory/2 && known < count:
			t.Fatalf("%d VMs know of it after %v", known, age)
		case age > memory && known > 0:
			t.Fatalf("%d VMs know of it after %v", known, age)
		case age > 2*memory:
			return
		}
	}
}

// TestReportOfManyResetsIsBounded fills reports with the resets of many endpoints: none may be too long,
// and all together tell of each endpoint.
func TestReportOfManyResetsIsBounded(t *testing.T) {
	const endpoints, reports = 60, 200
	r, told := New(), map[string]bool{}
	for i := range endpoints {
		r.Record(endpoint(i), idle, start)
	}
	for range reports {
		var report gossip.Report
		r.FillReport(&report, start)
		if len(report.IdleResets) != maxReported {
			t.Fatalf("%d resets in a report", len(report.IdleResets))
		}
		for _, reset := range report.IdleResets {
			told[reset.Endpoint] = true
		}
	}
	if len(told) != endpoints {
		t.Errorf("told of %d of %d endpoints", len(told), endpoints)
	}
}
