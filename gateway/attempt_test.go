package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
)

// TestOnlyWholeAnswersKeepAConnection lists what came of an exchange, with and
// without an answer.
func TestOnlyWholeAnswersKeepAConnection(t *testing.T) {
	answered := &http.Response{}
	for _, test := range []struct {
		response *http.Response
		came     outcome
		whole    bool
	}{
		{nil, outcome{fate: fateNotRun, untouched: true}, false},
		{nil, outcome{fate: fateFailed}, false},
		{answered, outcome{fate: fateNotRun, status: 503}, true},
		{answered, outcome{fate: fateDone, status: 200}, true},
		{answered, outcome{fate: fateFailed, status: 500}, true},
		{answered, outcome{fate: fateFailed}, false},
		{answered, outcome{fate: fateBroken}, false},
		{answered, outcome{fate: fateGone}, false},
		{answered, outcome{fate: fateLate}, false},
	} {
		x := &exchange{response: test.response}
		if whole := x.readWhole(test.came); whole != test.whole {
			t.Errorf("%+v with an answer %v: whole is %v", test.came, test.response != nil, whole)
		}
	}
}

// TestLeaseThatEndsBeforeTheSendRefuses lets the key lease end between the choice
// of an endpoint and the send: nothing is sent and the caller may come back.
func TestLeaseThatEndsBeforeTheSendRefuses(t *testing.T) {
	f := newTestFleet(t, 1)
	g := f.gateways[0]
	snapshot := g.tracker.Snapshot()
	c := &call{gateway: g, r: f.newRequest(context.Background(), 1, "00000000000000b1", query{path: "/deposit/1"})}
	c.request = traffic.Request{ID: "00000000000000b1", Key: "key-1"}
	if err := c.authorize(snapshot); err != nil {
		t.Fatal(err)
	}
	pick, err := c.next()
	if err != nil {
		t.Fatal(err)
	}
	bounds := *g.bounds.Load()
	bounds.KeyLease = leaseMargin + time.Nanosecond
	g.bounds.Store(&bounds)
	came := c.attempt(pick)
	if came.fate != fateNotRun || !came.untouched || f.runs(c.request.ID) != 0 {
		t.Errorf("%+v after %d runs", came, f.runs(c.request.ID))
	}
}
