package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// engines are the IDs of the engines of a test fleet.
var engines = []string{"engine-1", "engine-2"}

// TestSlowStreamIsNotTruncated lets engines pause before each event for nearly as long as the
// route allows: the stream must be complete and be executed once.
func TestSlowStreamIsNotTruncated(t *testing.T) {
	f := newTestFleet(t, 1)
	for _, id := range engines {
		f.workers[id].EventInterval = 390 * time.Millisecond
	}
	for _, path := range []string{"/chat/1", "/roster/1"} {
		got := f.ask(context.Background(), 1, query{path: path, promptParts: chatPromptParts, deadline: "8000"})
		if got.body != fullChatStream || !got.complete || f.executions(got.id) != 1 {
			t.Errorf("%s: %d runs, %+v", path, f.executions(got.id), got)
		}
	}
}

// TestTricklingStreamEnds lets an engine send single bytes that never complete an event. A
// resumable stream must continue at the other engine; any other stream must end when the
// caller's timeout expires.
func TestTricklingStreamEnds(t *testing.T) {
	f := newTestFleet(t, 1)
	for _, id := range engines {
		f.workers["engine-1"].SetNext()
		f.workers["engine-2"].SetNext()
		f.workers[id].SetNext(hosted.Trickle)
		got := f.ask(context.Background(), 1, query{path: "/roster/1", promptParts: chatPromptParts, deadline: "8000"})
		if got.body != fullChatStream || !got.complete {
			t.Errorf("a resumable stream: %+v", got)
		}
	}
	for _, id := range engines {
		f.workers[id].SetDefault(hosted.Trickle)
	}
	got := f.ask(context.Background(), 1, query{path: "/chat/1", promptParts: chatPromptParts, deadline: shortDeadline})
	if got.status == http.StatusOK && got.complete || notExecutedStatuses[got.status] {
		t.Errorf("a stream that is not resumable: %+v", got)
	}
	f.eventually("the engines are idle", func() bool {
		return f.workers["engine-1"].Active() == 0 && f.workers["engine-2"].Active() == 0
	})
}

// TestRestartedVMKeepsRevocations revokes a key and removes an endpoint, then makes the store
// unavailable and restarts a VM: the restarted VM must use neither of them again.
func TestRestartedVMKeepsRevocations(t *testing.T) {
	f := newTestFleet(t, 2)
	next := hosted.DefaultConfiguration()
	next.Version, next.Tenants[0].Keys = 2, []string{"key-2"}
	f.store.Publish(next)
	f.store.DeleteEndpoint("plain-1")
	f.eventually("all VMs know the change", func() bool {
		for _, g := range f.gateways {
			snapshot := g.tracker.Snapshot()
			if snapshot.Configuration.Version != 2 || len(snapshot.Ready["plain"]) != 1 {
				return false
			}
		}
		return true
	})
	before := f.requestCount("plain-1")
	f.store.SetFault(hosted.FaultHang)
	f.stops[0]()
	<-f.done[0]
	f.done[0] <- nil // The cleanup function receives from it again.
	f.start(1)
	f.eventually("the VM knows the configuration", func() bool {
		return f.gateways[2].tracker.Snapshot().Configuration != nil
	})
	for range 10 {
		if got := f.ask(context.Background(), 1, query{path: "/lookup/1", body: "work"}); f.executions(got.id) > 0 {
			t.Errorf("a revoked key was accepted: %+v", got)
		}
		f.ask(context.Background(), 1, query{path: "/lookup/1", body: "work", key: "key-2"})
	}
	if again := f.requestCount("plain-1"); again != before {
		t.Errorf("the removed endpoint got %d requests", again-before)
	}
}

// TestStreamOfALostVMContinues stops the reports of a VM while it forwards a stream. The
// other VM considers it lost, but the stream must be executed once and be complete.
func TestStreamOfALostVMContinues(t *testing.T) {
	f := newTestFleet(t, 2)
	for _, id := range engines {
		f.workers[id].Events, f.workers[id].EventInterval = 30, 100*time.Millisecond
	}
	done := make(chan result, 1)
	go func() { done <- f.ask(context.Background(), 1, query{path: "/roster/1", promptParts: chatPromptParts}) }()
	f.eventually("the stream runs", func() bool {
		return f.workers["engine-1"].Active()+f.workers["engine-2"].Active() > 0
	})
	f.gateways[0].reports.Close()
	f.eventually("the VM is considered lost", func() bool { return len(f.gateways[1].members.Alive(clock.Now())) == 0 })
	if got := <-done; !got.complete || f.executions(got.id) != 1 {
		t.Errorf("%d runs, complete %v", f.executions(got.id), got.complete)
	}
}
