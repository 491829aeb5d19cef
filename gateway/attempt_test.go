package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
)

// TestOnlyFullyReadResponsesKeepConnection checks after which outcomes a connection may be reused:
// only if the complete response was read.
func TestOnlyFullyReadResponsesKeepConnection(t *testing.T) {
	response := &http.Response{}
	for _, test := range []struct {
		response *http.Response
		out      outcome
		complete bool
	}{
		{nil, outcome{result: resultNotExecuted, unsent: true}, false},
		{nil, outcome{result: resultFailed}, false},
		{response, outcome{result: resultNotExecuted, status: 503}, true},
		{response, outcome{result: resultDone, status: 200}, true},
		{response, outcome{result: resultFailed, status: 500}, true},
		{response, outcome{result: resultFailed}, false},
		{response, outcome{result: resultTruncated}, false},
		{response, outcome{result: resultCallerGone}, false},
		{response, outcome{result: resultTimedOut}, false},
	} {
		x := &exchange{response: test.response}
		if fullyRead := x.fullyRead(test.out); fullyRead != test.complete {
			t.Errorf("%+v with a response %v: fully read is %v", test.out, test.response != nil, fullyRead)
		}
	}
}

// TestLeaseExpiredBeforeSendRefuses lets the key lease expire between the selection of an
// endpoint and the attempt: nothing must be sent, and the caller may retry.
func TestLeaseExpiredBeforeSendRefuses(t *testing.T) {
	f := newTestFleet(t, 1)
	g := f.gateways[0]
	snapshot := g.tracker.Snapshot()
	c := &call{gateway: g, r: f.newRequest(context.Background(), 1, "00000000000000b1", query{path: "/deposit/1"})}
	c.request = traffic.Request{ID: "00000000000000b1", Key: "key-1"}
	if err := c.authorize(snapshot); err != nil {
		t.Fatal(err)
	}
	pick, err := c.nextEndpoint()
	if err != nil {
		t.Fatal(err)
	}
	bounds := *g.bounds.Load()
	bounds.KeyLease = leaseMargin + time.Nanosecond
	g.bounds.Store(&bounds)
	out := (&exchange{call: c, pick: pick}).run()
	if out.result != resultNotExecuted || !out.unsent || f.executions(c.request.ID) != 0 {
		t.Errorf("%+v after %d runs", out, f.executions(c.request.ID))
	}
}
