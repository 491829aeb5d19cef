package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/standin"
	"cardamompoint.example/cardamompoint/router/source"
)

const (
	depositWorkspace = "outlet-klang"
	depositPath      = "/lanes/deposits"
)

// deposit is one piece of work and what its callers were told of it.
type deposit struct {
	body, key string

	mu     sync.Mutex
	notRun bool
	run    bool
	last   code.Code
}

// tell notes an answer. A caller's own failure to connect is no answer.
func (d *deposit) tell(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.run, d.last = true, code.OK
		return
	}
	coded := code.Of(err)
	d.last = coded.Code
	d.notRun = d.notRun || (coded.Run == code.RunNo && coded.Code != code.PeerUnreachable)
}

// settled reports whether the callers know how the work ended.
func (d *deposit) settled() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.run || d.notRun
}

// newDeposit returns work under an own key, or under a ticket of a router.
func (f *testFleet) newDeposit(name string, ticketFrom int) (*deposit, error) {
	if ticketFrom == 0 {
		key, err := uuid.NewV7()
		return &deposit{body: name, key: key.String()}, err
	}
	ticket, err := f.client(ticketFrom).Ticket(context.Background(), depositWorkspace)
	return &deposit{body: name, key: ticket}, err
}

// send sends the work to one router.
func (f *testFleet) send(d *deposit, router int) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, err := f.client(router).Call(ctx, depositWorkspace, "POST", depositPath, d.key, d.body)
	d.tell(err)
}

// sendAtOnce sends the work to some routers at the same moment.
func (f *testFleet) sendAtOnce(d *deposit, routers ...int) {
	var sends sync.WaitGroup
	for _, router := range routers {
		sends.Go(func() { f.send(d, router) })
	}
	sends.Wait()
}

// settle repeats the work at changing routers until its callers know how it
// ended, at most a few times.
func (f *testFleet) settle(d *deposit, random *rand.Rand) {
	for range 4 {
		if d.settled() {
			return
		}
		time.Sleep(200 * time.Millisecond)
		f.send(d, 1+random.IntN(len(f.settings)))
	}
}

// onceCounts is the result of a load of deposits.
type onceCounts struct {
	requests, runs, doubles, falselyNotRun, falselyRun, unknown int
}

func (c onceCounts) String() string {
	return fmt.Sprintf("requests %d, runs %d, doubles %d, falsely `not run` %d, falsely `run` %d, unknown %d",
		c.requests, c.runs, c.doubles, c.falselyNotRun, c.falselyRun, c.unknown)
}

// runsByBody adds up the runs at all workers.
func (f *testFleet) runsByBody() map[string]int {
	total := map[string]int{}
	for n := 1; n <= f.count(source.RoleService); n++ {
		var runs standin.ServiceRuns
		f.get(f.workerAddress(n), "/test/runs", &runs)
		for body, count := range runs.Bodies {
			total[body] += count
		}
	}
	return total
}

// countRuns waits until no work is in progress and compares what callers were
// told with what the workers ran.
func (f *testFleet) countRuns(deposits []*deposit) onceCounts {
	f.t.Helper()
	f.eventually("no work is in progress", func() bool {
		for n := range f.settings {
			if status, err := f.status(n + 1); err == nil && status.InProgress > 0 {
				return false
			}
		}
		return true
	})
	runs := f.runsByBody()
	counts := onceCounts{requests: len(deposits)}
	for _, d := range deposits {
		n := runs[strconv.Quote(d.body)]
		counts.runs += n
		counts.doubles += max(0, n-1)
		if d.notRun && n > 0 {
			counts.falselyNotRun++
		}
		if d.run && n == 0 {
			counts.falselyRun++
		}
		if !d.settled() {
			counts.unknown++
		}
	}
	return counts
}
