package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/router/settings"
)

const (
	// shortSuspectMS is short enough for routers to detect a pause of pauseTime.
	shortSuspectMS = 1000
	// longSuspectMS is long enough that a router on a busy host does not count as lost.
	longSuspectMS = 4000
	pauseTime     = 1500 * time.Millisecond
)

// startDepositFleet starts eight routers with short timeouts and three workers. It returns
// once work under a caller key runs.
func startDepositFleet(t testing.TB, suspectMS int, workerFlags ...string) *testFleet {
	f := startFleet(t, fleetConfig{
		deployment:  "gelek",
		engines:     1,
		workerFlags: append([]string{"--delay=20ms"}, workerFlags...),
		adjust: func(s *settings.Router) {
			s.Timing.HeartbeatMS = 100
			s.Timing.SuspectMS = suspectMS
			s.Timing.RequestMS = 20000
			s.Timing.ClockSkewMS = 50
			s.Timing.PollMS = 200
			s.Timing.LingerMS = 100
		},
	})
	f.eventually("caller keys are accepted", func() bool {
		d, err := f.newDeposit("first", 0)
		f.must(err)
		f.send(d, 1)
		return d.run
	})
	return f
}

// fault makes a router fail.
type fault func(f *testFleet, router int)

func (f *testFleet) routerName(router int) string { return fmt.Sprintf("router-%d", router) }

// pauseRouter stops the process of a router for pauseTime.
func pauseRouter(f *testFleet, router int) {
	f.signal(f.routerName(router), syscall.SIGSTOP)
	time.Sleep(pauseTime)
	f.signal(f.routerName(router), syscall.SIGCONT)
}

// replaceRouter kills a router and starts one without state at its address.
func replaceRouter(f *testFleet, router int) {
	f.kill(f.routerName(router))
	f.startRouter(router)
	time.Sleep(300 * time.Millisecond)
}

// pauseHalf pauses half of the fleet, so that neither half has a quorum.
func pauseHalf(f *testFleet, router int) {
	for i := range 4 {
		f.signal(f.routerName(1+(router+i)%8), syscall.SIGSTOP)
	}
	time.Sleep(pauseTime)
	for i := range 4 {
		f.signal(f.routerName(1+(router+i)%8), syscall.SIGCONT)
	}
}

// faultPeriod is the time between two faults.
const faultPeriod = 150 * time.Millisecond

// parallelFleets is the number of fleets, of eight routers each, that run at the same time.
const parallelFleets = 2

func TestDepositsRunAtMostOnce(t *testing.T) {
	const count = 48
	faults := map[string]fault{"paused": pauseRouter, "replaced": replaceRouter, "cut": pauseHalf, "none": nil}
	seeds := map[string]uint64{"none": 1, "paused": 2, "replaced": 3, "cut": 4}
	running := make(chan struct{}, parallelFleets)
	for _, worker := range []string{"--fencing=false", "--fencing"} {
		t.Run(worker, func(t *testing.T) {
			for name, fail := range faults {
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					running <- struct{}{}
					t.Cleanup(func() { <-running })
					f := startDepositFleet(t, shortSuspectMS, worker)
					counts := f.countRuns(f.sendDeposits(count, rand.New(rand.NewPCG(seeds[name], 0)), fail))
					t.Logf("routers %s, workers %s, seed %d: %s", name, worker, seeds[name], counts)
					checkCounts(t, counts, fail == nil)
				})
			}
		})
	}
}

// checkCounts fails the test if work ran twice or a caller got a false answer, and, without
// faults, if not all work ran.
func checkCounts(t *testing.T, counts depositCounts, noFaults bool) {
	t.Helper()
	if counts.duplicateRuns > 0 || counts.falselyNotRun > 0 || counts.falselyRun > 0 {
		t.Error("work ran twice, or a caller got a false answer")
	}
	if noFaults && counts.runs != counts.requests {
		t.Error("work was rejected although nothing failed")
	}
}

// sendDeposits sends deposits, each to two routers concurrently, half of them under tickets
// and half under caller keys, while fail is called for random routers unless it is nil.
func (f *testFleet) sendDeposits(count int, random *rand.Rand, fail fault) []*deposit {
	done := make(chan struct{})
	var faults sync.WaitGroup
	if fail != nil {
		targets := rand.New(rand.NewPCG(random.Uint64(), 1))
		faults.Go(func() { f.injectFaults(fail, targets, done) })
	}
	var deposits []*deposit
	var callers sync.WaitGroup
	for i := range count {
		a, b, ticketFrom := 1+random.IntN(8), 1+random.IntN(8), 0
		if i%2 == 0 {
			ticketFrom = 1 + random.IntN(8)
		}
		retryRandom := rand.New(rand.NewPCG(random.Uint64(), 2))
		d, err := f.newDeposit(fmt.Sprintf("deposit %d", i), ticketFrom)
		if err != nil {
			continue
		}
		deposits = append(deposits, d)
		callers.Go(func() {
			f.sendConcurrently(d, a, b)
			f.retryUntilSettled(d, retryRandom)
		})
		time.Sleep(30 * time.Millisecond)
	}
	callers.Wait()
	close(done)
	faults.Wait()
	return deposits
}

func (f *testFleet) injectFaults(fail fault, targets *rand.Rand, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(faultPeriod):
			fail(f, 1+targets.IntN(8))
		}
	}
}
