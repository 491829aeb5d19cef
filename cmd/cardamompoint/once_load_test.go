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

// deposit is a piece of work that must run at most once, and the answers to its callers.
type deposit struct {
	body, key string

	mu sync.Mutex
	// notRun reports whether an answer said that the work did not run, run whether one
	// said that it did. last is the code of the last answer.
	notRun bool
	run    bool
	last   code.Code
}

// record records an answer. A failure to connect is not an answer.
func (d *deposit) record(err error) {
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

// newDeposit returns work under a ticket of the router ticketFrom, or under a caller key if
// ticketFrom is 0.
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
	d.record(err)
}

// sendConcurrently sends the work to several routers at the same time.
func (f *testFleet) sendConcurrently(d *deposit, routers ...int) {
	var sends sync.WaitGroup
	for _, router := range routers {
		sends.Go(func() { f.send(d, router) })
	}
	sends.Wait()
}

// retryUntilSettled sends the work to random routers until its callers know how it ended, at
// most four times.
func (f *testFleet) retryUntilSettled(d *deposit, random *rand.Rand) {
	for range 4 {
		if d.settled() {
			return
		}
		time.Sleep(200 * time.Millisecond)
		f.send(d, 1+random.IntN(len(f.settings)))
	}
}

// depositCounts compares the answers to callers with the runs at the workers.
type depositCounts struct {
	requests, runs, duplicateRuns, falselyNotRun, falselyRun, unknown int
}

func (c depositCounts) String() string {
	return fmt.Sprintf("requests %d, runs %d, duplicate runs %d, falsely reported as not run %d, falsely reported as run %d, unknown %d",
		c.requests, c.runs, c.duplicateRuns, c.falselyNotRun, c.falselyRun, c.unknown)
}

// runsByBody returns the number of runs at all workers by body.
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

// countRuns waits until no work is in progress and compares the answers to callers with the
// runs at the workers.
func (f *testFleet) countRuns(deposits []*deposit) depositCounts {
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
	counts := depositCounts{requests: len(deposits)}
	for _, d := range deposits {
		n := runs[strconv.Quote(d.body)]
		counts.runs += n
		counts.duplicateRuns += max(0, n-1)
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
