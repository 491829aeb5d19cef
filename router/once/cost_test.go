package once

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"
)

// The fleet and the control limits that the costs are computed for: routers,
// requests per second, the fraction of requests that may not be repeated, memory
// in bytes and bandwidth in bytes per second.
const (
	fleetRouters          = 340
	fleetRequests         = 13_000
	nonRepeatableFraction = 0.05
	controlMemory         = 64 << 20
	controlBandwidth      = 13 << 10
)

// keysPerSecond is the rate of requests at one router that may not be repeated.
const keysPerSecond = fleetRequests * nonRepeatableFraction / fleetRouters

func TestMemoryOfGrantsAtTargetSize(t *testing.T) {
	grants := int(keysPerSecond * MaxGroupSize * testLifetime.Seconds())
	g := newTestGranter(grants)
	g.advance(settleTime)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range grants {
		key := g.key(0)
		key.ID = fmt.Sprintf("0198a2f0-7c00-7000-8000-%012d", i)
		if answer := g.Decide(clearanceFor(key, "10.0.0.2:7001", 1, eightRouters)); !answer.Granted {
			t.Fatal(answer.Reason)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := after.HeapAlloc - before.HeapAlloc
	t.Logf("%d grants take %d bytes, %d each", grants, used, used/uint64(grants))
	if used > controlMemory {
		t.Errorf("%d bytes exceed the control limit of %d", used, controlMemory)
	}
	runtime.KeepAlive(g)
}

func TestBytesOfAClearance(t *testing.T) {
	key := CallerKey{Workspace: "outlet-klang", ID: "0198a2f0-7c00-7000-8000-000000000001", IssuedMS: time.Now().UnixMilli()}
	var group []string
	for i := range MaxGroupSize {
		group = append(group, fmt.Sprintf("10.20.%d.%d:7001", 100+i, 200+i))
	}
	request, err := json.Marshal(ClearanceRequest{Key: key, Holder: Holder{Address: group[0], Incarnation: key.ID, Attempt: 12345}, Group: group})
	if err != nil {
		t.Fatal(err)
	}
	answer, err := json.Marshal(ClearanceAnswer{Granted: true})
	if err != nil {
		t.Fatal(err)
	}
	bodies := (len(request) + len(answer)) * (MaxGroupSize - 1)
	t.Logf("request %d bytes, answer %d bytes; bodies of one round %d bytes, sent and received", len(request), len(answer), bodies)
	rate := 2 * float64(bodies) * keysPerSecond
	t.Logf("%.0f bytes/s of bodies at one router when all such work uses caller keys", rate)
	if rate > controlBandwidth {
		t.Errorf("%.0f bytes/s exceed the control limit of %d", rate, controlBandwidth)
	}
}
