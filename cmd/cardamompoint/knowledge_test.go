package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/standin"
	"cardamompoint.example/cardamompoint/router/api"
)

const testWorkspace = "outlet-klang"

// minFreeze is the shortest pause of its process that a router must detect by itself. After a
// shorter one, it may learn of a departure as late as if the network were slow.
const minFreeze = time.Second

// knowledgeFleet starts eight routers with few endpoints.
func knowledgeFleet(t *testing.T) *testFleet {
	t.Helper()
	t.Parallel()
	return startFleet(t, fleetConfig{deployment: "gelek", engines: 2, workers: 2})
}

// setFault sets the fault of the emulated platform.
func (f *testFleet) setFault(fault string) {
	f.t.Helper()
	f.must(f.put("/test/fault", fault, nil))
}

// restart kills the n-th router and starts it again.
func (f *testFleet) restart(n int) {
	name := fmt.Sprintf("router-%d", n)
	f.signal(name, syscall.SIGKILL)
	f.wait(name)
	f.startRouter(n)
}

// versions returns the versions that the n-th router applies for testWorkspace, and its full
// status. Both are zero if the router is not ready.
func (f *testFleet) versions(n int) (api.WorkspaceStatus, *api.Status) {
	status, err := f.status(n)
	if err != nil || !status.Ready {
		return api.WorkspaceStatus{}, &api.Status{}
	}
	for _, workspace := range status.Workspaces {
		if workspace.Workspace == testWorkspace {
			return workspace, status
		}
	}
	return api.WorkspaceStatus{}, status
}

// eventuallyOnAll waits until all routers satisfy the condition.
func (f *testFleet) eventuallyOnAll(what string, done func(api.WorkspaceStatus, *api.Status) bool) {
	f.t.Helper()
	f.eventually(what, func() bool {
		for n := range f.settings {
			if !done(f.versions(n + 1)) {
				return false
			}
		}
		return true
	})
}

// awaitReady waits until the n-th router is ready and returns the versions and the status at
// that moment.
func (f *testFleet) awaitReady(n int) (api.WorkspaceStatus, *api.Status) {
	f.t.Helper()
	var versions api.WorkspaceStatus
	var status *api.Status
	f.eventually("the router is ready again", func() bool {
		versions, status = f.versions(n)
		return status.Ready
	})
	return versions, status
}

// TestRestartWhilePlatformIsDown restarts a router that can read only from its peers. All
// routers have rejected the newest template; the new process must apply the last accepted
// one, too.
func TestRestartWhilePlatformIsDown(t *testing.T) {
	f := knowledgeFleet(t)
	before, _ := f.versions(1)
	_, err := f.publish("workspaces/"+testWorkspace+"/template", `{"completion": {"models": []}}`)
	f.must(err)
	f.eventuallyOnAll("the template is rejected", func(_ api.WorkspaceStatus, s *api.Status) bool { return len(s.Refused) == 1 })
	f.setFault(`{"down": true}`)
	f.restart(8)
	after, status := f.awaitReady(8)
	if after != before || len(status.Refused) != 1 {
		t.Fatalf("%+v is applied with %d rejected, want %+v with 1", after, len(status.Refused), before)
	}
}

// TestRestartWithStalePlatform restarts a router while the platform serves an older revision
// than the peers apply: the router must apply that of the peers.
func TestRestartWithStalePlatform(t *testing.T) {
	f := knowledgeFleet(t)
	version, err := f.publish("workspaces/"+testWorkspace+"/parameters", `{"answer_tokens": 8}`)
	f.must(err)
	f.eventuallyOnAll("the parameters are applied", func(w api.WorkspaceStatus, _ *api.Status) bool { return w.ParameterVersion == version })
	f.setFault(fmt.Sprintf(`{"stale_revision": %d}`, version-1))
	f.restart(8)
	after, _ := f.awaitReady(8)
	if after.ParameterVersion != version {
		t.Fatalf("parameters version %d is applied, want %d", after.ParameterVersion, version)
	}
}

// TestFrozenRouterSendsNothingToDepartedWorker freezes a router, publishes a worker as leaving,
// and resumes the router while the platform is down: it must send the worker nothing.
func TestFrozenRouterSendsNothingToDepartedWorker(t *testing.T) {
	f := knowledgeFleet(t)
	client := f.client(8)
	f.signal("router-8", syscall.SIGSTOP)
	frozen := time.Now()
	f.must(f.put("/operator/v1/vms/"+f.workerAddress(1)+"/leaving", "", nil))
	f.eventually("the others know of the departure", func() bool {
		for n := 1; n < len(f.settings); n++ {
			status, err := f.status(n)
			if err != nil || status.ListVersion < 2 {
				return false
			}
		}
		return true
	})
	f.setFault(`{"down": true}`)
	time.Sleep(minFreeze - time.Since(frozen))
	f.signal("router-8", syscall.SIGCONT)
	for range 20 {
		_, err := client.Call(context.Background(), testWorkspace, http.MethodGet, "/lanes/availability", "", "")
		f.must(err)
	}
	var runs standin.ServiceRuns
	f.get(f.workerAddress(1), "/test/runs", &runs)
	if len(runs.Requests) > 0 {
		t.Errorf("the departed worker received %d requests", len(runs.Requests))
	}
}

// TestUnreachableIsNotDeparted freezes a router: the others must keep it as an unreachable
// peer, and find it alive once it resumes.
func TestUnreachableIsNotDeparted(t *testing.T) {
	f := knowledgeFleet(t)
	f.signal("router-8", syscall.SIGSTOP)
	health := func(want string) {
		t.Helper()
		f.eventually("router-8 is "+want, func() bool {
			status, err := f.status(1)
			return err == nil && slices.ContainsFunc(status.Peers, func(p api.PeerStatus) bool {
				return p.Address == f.settings[7].Peers && p.Health == want
			})
		})
	}
	health("unreachable")
	f.signal("router-8", syscall.SIGCONT)
	health("alive")
}
