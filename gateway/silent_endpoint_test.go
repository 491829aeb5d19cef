package gateway

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// TestSilentStreamIsNotCutWhenNoOtherEndpointMayTakeIt lets the only engine that may serve a
// resumable stream pause for longer than the silence after which another one is tried: the caller
// must get the whole stream from that engine, whatever forbids the next attempt.
func TestSilentStreamIsNotCutWhenNoOtherEndpointMayTakeIt(t *testing.T) {
	for name, forbid := range map[string]func(f *testFleet){
		"no other endpoint":  func(f *testFleet) { f.keepOnly(f.executing(silentID), "engines") },
		"retry budget spent": (*testFleet).spendRetryBudget,
		"route withdrawn":    func(f *testFleet) { f.publishChanged(3, allowLongGaps, withdrawRoster) },
		"key withdrawn":      func(f *testFleet) { f.publishChanged(3, allowLongGaps, replaceKey) },
		"fewer executions":   func(f *testFleet) { f.publishChanged(3, allowLongGaps, allowOneExecution) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, 1)
			for _, id := range engineIDs {
				f.workers[id].Events, f.workers[id].EventInterval = 2, 3*time.Second
			}
			f.publishChanged(2, allowLongGaps)
			request := f.newRequest(context.Background(), 1, silentID, query{path: "/roster/1", promptParts: chatPromptParts})
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			reader := bufio.NewReader(response.Body)
			if line, err := reader.ReadString('\n'); err != nil || line != "id: 1\n" {
				t.Fatalf("the stream begins with %q, %v", line, err)
			}
			forbid(f)
			rest, err := io.ReadAll(reader)
			if err != nil || !strings.HasSuffix(string(rest), "id: 2\ndata: piece 2\n\n") {
				t.Errorf("the rest of the stream is %q, %v", rest, err)
			}
			if runs := f.executions(silentID); runs != 1 {
				t.Errorf("executed %d times", runs)
			}
		})
	}
}

// silentID is the ID of a request whose endpoint is silent for a while.
const silentID = "00000000000000c1"

// executing returns the endpoint that has executed a request.
func (f *testFleet) executing(id string) string {
	f.t.Helper()
	for name, worker := range f.workers {
		if worker.Runs(id) > 0 {
			return name
		}
	}
	f.t.Fatalf("no endpoint has executed %s", id)
	return ""
}

// keepOnly withdraws all but one endpoint of a service and waits until the gateway has applied that.
func (f *testFleet) keepOnly(kept, service string) {
	f.t.Helper()
	g := f.gateways[0]
	for id := range f.workers {
		if endpoint := g.tracker.Snapshot().Endpoints[id]; id != kept && endpoint != nil && endpoint.Service == service {
			f.store.DeleteEndpoint(id)
		}
	}
	f.eventually("one endpoint is left", func() bool { return len(g.tracker.Snapshot().Ready[service]) == 1 })
}

// spendRetryBudget leaves the gateway without retries.
func (f *testFleet) spendRetryBudget() {
	bounds := *f.gateways[0].bounds.Load()
	bounds.RetryRatio, bounds.RetrySlack = 0, 0
	f.gateways[0].bounds.Store(&bounds)
}

// publishChanged publishes a changed configuration and waits until the gateway has it.
func (f *testFleet) publishChanged(version int64, changes ...func(*hosted.Configuration)) {
	f.t.Helper()
	f.publish(version, changes...)
	f.eventually("the change is known", func() bool { return f.gateways[0].tracker.Snapshot().Configuration.Version == version })
}

// allowLongGaps leaves time to change something while an endpoint is silent.
func allowLongGaps(c *hosted.Configuration) {
	for i := range c.Routes {
		c.Routes[i].GapTargetMS = 1000
	}
}

// allowSlowMachine lets requests take as long as a slow machine needs for them.
func allowSlowMachine(c *hosted.Configuration) {
	const slowTimeoutMS = 15000
	for i := range c.Routes {
		c.Routes[i].TimeoutMS = slowTimeoutMS
	}
}

func withdrawRoster(c *hosted.Configuration) {
	for i := range c.Routes {
		if c.Routes[i].Name == "roster" {
			c.Routes[i].Prefix = "/elsewhere/"
		}
	}
}

func replaceKey(c *hosted.Configuration) {
	c.Tenants = []hosted.Tenant{{Name: hosted.Workspace, Keys: []string{"key-2"}}}
}

func allowOneExecution(c *hosted.Configuration) {
	for i := range c.Routes {
		c.Routes[i].MaxAttempts = 1
	}
}

// TestSlowAnswerIsAwaitedWhenNoOtherEndpointMayTakeIt lets the only endpoint that may serve a
// request take longer than the silence after which another one is tried: the caller must get its
// answer.
func TestSlowAnswerIsAwaitedWhenNoOtherEndpointMayTakeIt(t *testing.T) {
	for name, q := range map[string]query{
		"answer": {path: "/lookup/1", body: "work", deadline: "5000"},
		"stream": {path: "/roster/1", promptParts: chatPromptParts},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, 1)
			f.workers["engine-1"].Delay, f.workers["plain-1"].Delay = 2*time.Second, time.Second
			f.keepOnly("engine-1", "engines")
			f.keepOnly("plain-1", "plain")
			got := f.ask(context.Background(), 1, q)
			if got.status != http.StatusOK || !got.complete || f.executions(got.id) != 1 {
				t.Errorf("%+v after %d runs", got, f.executions(got.id))
			}
		})
	}
}

// TestSilentStreamIsNotGivenUpForUnreachableEndpoint lets an engine pause in a stream while the only other one refuses connections.
func TestSilentStreamIsNotGivenUpForUnreachableEndpoint(t *testing.T) {
	f := newTestFleet(t, 1)
	q := query{path: "/roster/1", promptParts: chatPromptParts}
	serving, other := f.engineOf(q)
	f.workers[serving].Events, f.workers[serving].EventInterval = 3, 1500*time.Millisecond
	unreachable := f.address(150, workerPort)
	f.store.PutEndpoint(other, "engines", unreachable, "ready")
	f.eventually("the move is known", func() bool {
		return f.gateways[0].tracker.Snapshot().Endpoints[other].Address == unreachable
	})
	got := f.ask(context.Background(), 1, q)
	if !got.complete || !strings.HasSuffix(got.body, "id: 3\ndata: piece 3\n\n") {
		t.Errorf("%+v", got)
	}
}

// TestStreamStaysAtEndpointThatIsSilentForASecond guards against a stream that leaves a sound endpoint, and may then end at one that refuses.
func TestStreamStaysAtEndpointThatIsSilentForASecond(t *testing.T) {
	for pause, wanted := range map[time.Duration]int{1300 * time.Millisecond: 1, 3 * time.Second: 2} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, 1)
			q := query{path: "/roster/1", promptParts: chatPromptParts}
			serving, _ := f.engineOf(q)
			f.workers[serving].Events, f.workers[serving].EventInterval = 2, pause
			got := f.ask(context.Background(), 1, q)
			if !got.complete || f.executions(got.id) != wanted {
				t.Errorf("%+v after %d executions, want %d", got, f.executions(got.id), wanted)
			}
		})
	}
}

// TestSilentStreamIsNotCutWhenTheNextEndpointRefuses lets a sound engine pause in a stream while the other
// one accepts connections and refuses, or fails: the caller must get the whole stream.
func TestSilentStreamIsNotCutWhenTheNextEndpointRefuses(t *testing.T) {
	for name, next := range map[string]hosted.Behavior{"refuses": hosted.Refuse, "fails": hosted.Fail} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, 1)
			q := query{path: "/roster/1", promptParts: chatPromptParts}
			serving, other := f.engineOf(q)
			f.workers[serving].Events, f.workers[serving].EventInterval = 2, 3*time.Second
			f.workers[other].SetDefault(next)
			got := f.ask(context.Background(), 1, q)
			if !got.complete || !strings.HasSuffix(got.body, "id: 2\ndata: piece 2\n\n") {
				t.Errorf("%q, complete: %t", got.body, got.complete)
			}
		})
	}
}
