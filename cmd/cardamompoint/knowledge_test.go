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

// leastFreeze is the shortest pause of a process that a router must notice by
// itself. Of a departure during a shorter one it learns as late as over a slow
// network.
const leastFreeze = time.Second

// knowledgeFleet starts eight routers with few endpoints.
func knowledgeFleet(t *testing.T) *testFleet {
	t.Helper()
	t.Parallel()
	return startFleet(t, fleetConfig{deployment: "gelek", engines: 2, workers: 2})
}

// setFault lets the platform fail.
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

// rules returns the versions in force of the test's workspace at a router that
// is ready, and the router's whole status.
func (f *testFleet) rules(n int) (api.WorkspaceStatus, *api.Status) {
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

// everywhere waits until all routers satisfy the condition.
func (f *testFleet) everywhere(what string, done func(api.WorkspaceStatus, *api.Status) bool) {
	f.t.Helper()
	f.eventually(what, func() bool {
		for n := range f.settings {
			if !done(f.rules(n + 1)) {
				return false
			}
		}
		return true
	})
}

// firstReady waits until the n-th router is ready and returns what is in force
// at that moment.
func (f *testFleet) firstReady(n int) (api.WorkspaceStatus, *api.Status) {
	f.t.Helper()
	var rules api.WorkspaceStatus
	var status *api.Status
	f.eventually("the router is ready again", func() bool {
		rules, status = f.rules(n)
		return status.Ready
	})
	return rules, status
}

// TestRestartWhilePlatformIsDown starts a router from its peers alone. The
// newest template is refused everywhere; the last accepted one must be in
// force at the new process, too.
func TestRestartWhilePlatformIsDown(t *testing.T) {
	f := knowledgeFleet(t)
	before, _ := f.rules(1)
	_, err := f.publish("workspaces/"+testWorkspace+"/template", `{"completion": {"models": []}}`)
	f.must(err)
	f.everywhere("the template is refused", func(_ api.WorkspaceStatus, s *api.Status) bool { return len(s.Refused) == 1 })
	f.setFault(`{"down": true}`)
	f.restart(8)
	after, status := f.firstReady(8)
	if after != before || len(status.Refused) != 1 {
		t.Fatalf("in force is %+v with %d refused, want %+v with 1", after, len(status.Refused), before)
	}
}

// TestRestartWithStalePlatform starts a router while the platform shows an
// older state than the peers have in force.
func TestRestartWithStalePlatform(t *testing.T) {
	f := knowledgeFleet(t)
	version, err := f.publish("workspaces/"+testWorkspace+"/parameters", `{"answer_tokens": 8}`)
	f.must(err)
	f.everywhere("the parameters are in force", func(w api.WorkspaceStatus, _ *api.Status) bool { return w.ParameterVersion == version })
	f.setFault(fmt.Sprintf(`{"stale_revision": %d}`, version-1))
	f.restart(8)
	after, _ := f.firstReady(8)
	if after.ParameterVersion != version {
		t.Fatalf("parameters version %d is in force, want %d", after.ParameterVersion, version)
	}
}

// TestSleeperSendsNothingToDeparted freezes a router, lets a worker leave, and
// lets the router wake while the platform is down.
func TestSleeperSendsNothingToDeparted(t *testing.T) {
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
	time.Sleep(leastFreeze - time.Since(frozen))
	f.signal("router-8", syscall.SIGCONT)
	for range 20 {
		_, err := client.Call(context.Background(), testWorkspace, http.MethodGet, "/lanes/availability", "", "")
		f.must(err)
	}
	var runs standin.ServiceRuns
	f.get(f.workerAddress(1), "/test/runs", &runs)
	if len(runs.Requests) > 0 {
		t.Errorf("the departed worker got %d requests", len(runs.Requests))
	}
}

// TestUnreachableIsNotDeparted freezes a router: the others must keep it among
// the members, and find it alive when it goes on.
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
