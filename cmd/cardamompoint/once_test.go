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
	// quickSuspectMS lets routers notice a pause of oncePause.
	quickSuspectMS = 1000
	// calmSuspectMS keeps a busy machine from passing for a lost router.
	calmSuspectMS = 4000
	oncePause     = 1500 * time.Millisecond
)

// startOnceFleet starts eight routers with short timeouts and three workers.
func startOnceFleet(t testing.TB, suspectMS int, workerFlags ...string) *testFleet {
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
	f.eventually("own keys are cleared", func() bool {
		d, err := f.newDeposit("first", 0)
		f.must(err)
		f.send(d, 1)
		return d.run
	})
	return f
}

// fault is one failure of a router.
type fault func(f *testFleet, router int)

func (f *testFleet) name(router int) string { return fmt.Sprintf("router-%d", router) }

// pauseRouter stops a router in the middle of whatever it does and lets it wake up.
func pauseRouter(f *testFleet, router int) {
	f.signal(f.name(router), syscall.SIGSTOP)
	time.Sleep(oncePause)
	f.signal(f.name(router), syscall.SIGCONT)
}

// replaceRouter kills a router and starts an empty one with its address.
func replaceRouter(f *testFleet, router int) {
	f.kill(f.name(router))
	f.startRouter(router)
	time.Sleep(300 * time.Millisecond)
}

// cutRouters stops half of the fleet, so that neither half has a quorum.
func cutRouters(f *testFleet, router int) {
	for i := range 4 {
		f.signal(f.name(1+(router+i)%8), syscall.SIGSTOP)
	}
	time.Sleep(oncePause)
	for i := range 4 {
		f.signal(f.name(1+(router+i)%8), syscall.SIGCONT)
	}
}

// faultEvery is the time between two faults.
const faultEvery = 150 * time.Millisecond

func TestDepositsRunAtMostOnce(t *testing.T) {
	const each = 48
	faults := map[string]fault{"paused": pauseRouter, "replaced": replaceRouter, "cut": cutRouters, "none": nil}
	seeds := map[string]uint64{"none": 1, "paused": 2, "replaced": 3, "cut": 4}
	for _, worker := range []string{"--fencing=false", "--fencing"} {
		t.Run(worker, func(t *testing.T) {
			for name, fail := range faults {
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					f := startOnceFleet(t, quickSuspectMS, worker)
					counts := f.countRuns(f.sendDeposits(each, rand.New(rand.NewPCG(seeds[name], 0)), fail))
					t.Logf("routers %s, workers %s, seed %d: %s", name, worker, seeds[name], counts)
					checkCounts(t, counts, fail == nil)
				})
			}
		})
	}
}

// checkCounts fails the test if work ran twice or an answer was not true. With
// no fault, all work has to run.
func checkCounts(t *testing.T, counts onceCounts, quiet bool) {
	t.Helper()
	if counts.doubles > 0 || counts.falselyNotRun > 0 || counts.falselyRun > 0 {
		t.Error("work ran twice, or a caller was told what is not so")
	}
	if quiet && counts.runs != counts.requests {
		t.Error("work was refused although nothing failed")
	}
}

// sendDeposits sends deposits, each to two routers at the same moment, half under
// tickets and half under own keys, while fail strikes.
func (f *testFleet) sendDeposits(count int, random *rand.Rand, fail fault) []*deposit {
	done := make(chan struct{})
	var faults sync.WaitGroup
	if fail != nil {
		victims := rand.New(rand.NewPCG(random.Uint64(), 1))
		faults.Go(func() { f.strike(fail, victims, done) })
	}
	var deposits []*deposit
	var callers sync.WaitGroup
	for i := range count {
		a, b, ticketFrom := 1+random.IntN(8), 1+random.IntN(8), 0
		if i%2 == 0 {
			ticketFrom = 1 + random.IntN(8)
		}
		own := rand.New(rand.NewPCG(random.Uint64(), 2))
		d, err := f.newDeposit(fmt.Sprintf("deposit %d", i), ticketFrom)
		if err != nil {
			continue
		}
		deposits = append(deposits, d)
		callers.Go(func() {
			f.sendAtOnce(d, a, b)
			f.settle(d, own)
		})
		time.Sleep(30 * time.Millisecond)
	}
	callers.Wait()
	close(done)
	faults.Wait()
	return deposits
}

func (f *testFleet) strike(fail fault, victims *rand.Rand, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(faultEvery):
			fail(f, 1+victims.IntN(8))
		}
	}
}
