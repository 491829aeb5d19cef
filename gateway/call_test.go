package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

const (
	chatPromptParts = "a1:100,b2:400,c3:50"
	fullChatStream  = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n"
	shortDeadline   = "1200"
)

// notExecutedStatuses are the statuses that promise the caller that its request is never
// executed.
var notExecutedStatuses = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

func TestEachKindIsServed(t *testing.T) {
	f := newTestFleet(t, 1)
	for _, path := range []string{"/deposit/1", "/lookup/1?x=%2f", "/open/1"} {
		got := f.ask(context.Background(), 1, query{path: path, body: "work"})
		if got.status != http.StatusOK || got.body != "answer to "+got.id {
			t.Errorf("%s: %+v", path, got)
		}
	}
	for _, path := range []string{"/chat/1", "/roster/1"} {
		got := f.ask(context.Background(), 1, query{path: path, promptParts: chatPromptParts})
		if got.status != http.StatusOK || got.body != fullChatStream || !got.complete {
			t.Errorf("%s: %+v", path, got)
		}
	}
}

// TestWorkerSeesWhatTheCallerSent checks which parts of a request are forwarded and which
// headers are dropped.
func TestWorkerSeesWhatTheCallerSent(t *testing.T) {
	f := newTestFleet(t, 1)
	got := f.ask(context.Background(), 1, query{path: "/deposit/a%2Fb?q=1&q=2", body: "work", deadline: "1000", headers: map[string]string{
		"X-Other": "kept", "Connection": "x-hop", "X-Hop": "dropped",
		"Cardamompoint-Tenant": "forged", "Cardamompoint-Hold": "forged", "Kv-From": "forged", "Cardamompoint-Kv-Backup": "forged",
		"Cardamompoint-Pin-Ms": "9",
	}})
	if got.status != http.StatusOK {
		t.Fatalf("%+v", got)
	}
	var seen hosted.SeenRequest
	for _, worker := range f.workers {
		for _, one := range worker.Seen() {
			seen = one
		}
	}
	if seen.Target != "/deposit/a%2Fb?q=1&q=2" || seen.Body != "work" || seen.Workspace != hosted.Workspace || seen.ID != got.id {
		t.Errorf("the endpoint received %+v", seen)
	}
	if seen.Header.Get("X-Other") != "kept" {
		t.Error("a header was not forwarded")
	}
	for _, name := range []string{"Authorization", "X-Hop", "Cardamompoint-Hold", "Kv-From", "Cardamompoint-Kv-Backup", "Cardamompoint-Pin-Ms"} {
		if value := seen.Header.Get(name); value != "" {
			t.Errorf("%s was forwarded as %q", name, value)
		}
	}
}

// TestAtMostOnce injects each fault into a request that must not be repeated: it must be
// executed at most once, and a status that promises that it was not executed must be true.
func TestAtMostOnce(t *testing.T) {
	f := newTestFleet(t, 1)
	faults := []hosted.Behavior{hosted.Refuse, hosted.Fail, hosted.DropConnection, hosted.Hang, hosted.Unsealed, hosted.ForeignID, hosted.Truncate, hosted.ExtraResponse, hosted.RefuseAfterRun}
	for _, fault := range faults {
		for round := range 3 {
			for _, id := range []string{"plain-1", "plain-2"} {
				f.workers[id].SetNext(fault)
			}
			got := f.ask(context.Background(), 1, query{path: "/deposit/1", body: "work", deadline: shortDeadline})
			name := fmt.Sprintf("fault %d, round %d", fault, round)
			if runs := f.executions(got.id); runs > 1 {
				t.Errorf("%s: executed %d times", name, runs)
			} else if runs > 0 && notExecutedStatuses[got.status] {
				t.Errorf("%s: executed, but the caller got status %d", name, got.status)
			}
			if got.status == http.StatusOK && got.body != "answer to "+got.id {
				t.Errorf("%s: %+v", name, got)
			}
			for _, id := range []string{"plain-1", "plain-2"} {
				f.workers[id].SetNext()
			}
		}
	}
}

// TestIdempotentRequestIsTriedElsewhere lets one of two endpoints fail in each way: the request
// must succeed at the other one.
func TestIdempotentRequestIsTriedElsewhere(t *testing.T) {
	f := newTestFleet(t, 1)
	faults := []hosted.Behavior{hosted.Refuse, hosted.Fail, hosted.DropConnection, hosted.Hang, hosted.Unsealed, hosted.ForeignID, hosted.Truncate, hosted.RefuseAfterRun}
	for _, fault := range faults {
		f.workers["plain-1"].SetDefault(fault)
		for range 4 {
			got := f.ask(context.Background(), 1, query{path: "/lookup/1", body: "work", deadline: "5000"})
			if got.status != http.StatusOK || got.body != "answer to "+got.id {
				t.Errorf("fault %d: %+v", fault, got)
			}
		}
		f.workers["plain-1"].SetDefault(hosted.Serve)
	}
}

// TestExtraResponseIsNotForwarded sends an extra response after the right one: the next request on
// that connection must get its own response.
func TestExtraResponseIsNotForwarded(t *testing.T) {
	f := newTestFleet(t, 1)
	for _, id := range []string{"plain-1", "plain-2"} {
		f.workers[id].SetDefault(hosted.ExtraResponse)
	}
	for range 20 {
		got := f.ask(context.Background(), 1, query{path: "/deposit/1", body: "work"})
		if got.status != http.StatusOK || got.body != "answer to "+got.id {
			t.Fatalf("%+v", got)
		}
	}
}

// TestTruncatedStreamIsResumedElsewhere truncates streams in the middle of an event. A resumable
// stream must be complete and have each event once; any other stream must not look complete.
func TestTruncatedStreamIsResumedElsewhere(t *testing.T) {
	f := newTestFleet(t, 1)
	for range 6 {
		f.workers["engine-1"].SetNext(hosted.Truncate)
		f.workers["engine-2"].SetNext()
		got := f.ask(context.Background(), 1, query{path: "/roster/1", promptParts: chatPromptParts})
		if got.body != fullChatStream || !got.complete {
			t.Errorf("a resumable stream: %+v", got)
		}
	}
	for _, id := range []string{"engine-1", "engine-2"} {
		f.workers[id].SetDefault(hosted.Truncate)
	}
	got := f.ask(context.Background(), 1, query{path: "/chat/1", promptParts: chatPromptParts})
	if got.complete {
		t.Errorf("a truncated stream looks complete: %+v", got)
	}
	if !strings.HasPrefix(fullChatStream, got.body) {
		t.Errorf("the stream is %q", got.body)
	}
	if runs := f.executions(got.id); runs != 1 {
		t.Errorf("a stream that is not resumable was executed %d times", runs)
	}
}

// TestCallerGoneStopsTheWork closes the caller's connection in the middle of a stream: the
// endpoint's connection must be closed too.
func TestCallerGoneStopsTheWork(t *testing.T) {
	f := newTestFleet(t, 1)
	for _, id := range []string{"engine-1", "engine-2"} {
		f.workers[id].Events = 100_000
	}
	ctx, cancel := context.WithCancel(context.Background())
	request := f.newRequest(ctx, 1, "00000000000000aa", query{path: "/chat/1", promptParts: chatPromptParts})
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	cancel()
	f.eventually("the endpoint's connection is closed", func() bool {
		return f.workers["engine-1"].Abandoned("00000000000000aa") || f.workers["engine-2"].Abandoned("00000000000000aa")
	})
}

// TestAnotherInstanceAtTheAddress publishes an address with the ID of another instance: the
// request must not be executed, and the caller may retry.
func TestAnotherInstanceAtTheAddress(t *testing.T) {
	f := newTestFleet(t, 1)
	f.store.DeleteEndpoint("plain-1")
	f.store.DeleteEndpoint("plain-2")
	f.store.PutEndpoint("plain-9", "plain", f.address(100, workerPort), "ready")
	f.eventually("the change is known", func() bool {
		ready := f.gateways[0].tracker.Snapshot().Ready["plain"]
		return len(ready) == 1 && ready[0].ID == "plain-9"
	})
	got := f.ask(context.Background(), 1, query{path: "/deposit/1", body: "work"})
	if !notExecutedStatuses[got.status] || f.executions(got.id) != 0 {
		t.Errorf("status %d after %d runs", got.status, f.executions(got.id))
	}
	if got.header.Get("Retry-After") == "" {
		t.Error("the response has no Retry-After header")
	}
}

// TestInvalidRequestsAreRefused checks the statuses of invalid requests, which must not reach an
// endpoint.
func TestInvalidRequestsAreRefused(t *testing.T) {
	f := newTestFleet(t, 1)
	long := strings.Repeat("x", 70_000)
	for _, test := range []struct {
		name   string
		query  query
		status int
	}{
		{"unknown key", query{path: "/deposit/1", key: "other"}, http.StatusUnauthorized},
		{"unknown path", query{path: "/nothing/1"}, http.StatusNotFound},
		{"long body", query{path: "/deposit/1", body: long}, http.StatusRequestEntityTooLarge},
		{"bad deadline", query{path: "/deposit/1", deadline: "soon"}, http.StatusBadRequest},
	} {
		got := f.ask(context.Background(), 1, test.query)
		if got.status != test.status || f.executions(got.id) != 0 {
			t.Errorf("%s: status %d after %d runs: %v", test.name, got.status, f.executions(got.id), got.err)
		}
	}
}
