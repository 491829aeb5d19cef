package demo

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"
)

// depositPaths are the paths of non-idempotent work, by deployment.
var depositPaths = map[string]string{
	"gelek":  "/lanes/deposits",
	"urverk": "/repairs/orders",
}

// checkDeposits sends each deposit twice, to two routers at the same time, and checks that
// it is executed once. Every other deposit has a ticket, the rest a key that the caller
// created.
func (d *demoRun) checkDeposits(ctx context.Context) error {
	if err := d.waitForCallerKeys(ctx); err != nil {
		return err
	}
	path := depositPaths[d.options.Deployment]
	workspace := d.workspaces()[0]
	var failed atomic.Int64
	var group errgroup.Group
	group.SetLimit(maxParallelRequests)
	for i := range d.options.Deposits {
		key, err := d.depositKey(ctx, i, workspace)
		if err != nil {
			return err
		}
		for attempt := 1; attempt <= 2; attempt++ {
			group.Go(func() error {
				client := d.client(i + attempt)
				defer client.Close()
				body := map[string]string{"deposit": fmt.Sprintf("deposit-%d", i)}
				if _, err := client.Call(ctx, workspace, "POST", path, key, body); err != nil {
					failed.Add(1)
				}
				return nil
			})
		}
	}
	group.Wait()
	executed, duplicated := d.countExecutions()
	d.report.check(executed == d.options.Deposits && duplicated == 0 && failed.Load() == 0,
		"deposits: %d sent twice each, %d run, %d run more than once, %d without an answer",
		d.options.Deposits, executed, duplicated, failed.Load())
	return nil
}

// callerKeyMargin is added to the uptime that routers need for keys that callers create.
const callerKeyMargin = 500 * time.Millisecond

// waitForCallerKeys waits until the routers have been up for long enough to grant clearance
// for keys that callers create from now on.
func (d *demoRun) waitForCallerKeys(ctx context.Context) error {
	timing := d.fleet.settings[0].Timing
	uptime := time.Duration(2*timing.ClockSkewMS+timing.PollMS)*time.Millisecond + callerKeyMargin
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Until(d.fleet.readyAt.Add(uptime))):
		return nil
	}
}

// depositKey returns a ticket for every other deposit, else a new key.
func (d *demoRun) depositKey(ctx context.Context, deposit int, workspace string) (string, error) {
	if deposit%2 == 0 {
		return d.client(deposit).Ticket(ctx, workspace)
	}
	key, err := uuid.NewV7()
	return key.String(), err
}

// countExecutions returns how many bodies were executed, and how many more than once.
func (d *demoRun) countExecutions() (executed, duplicated int) {
	totals := map[string]int{}
	for _, service := range d.fleet.services {
		for body, count := range service.Runs().Bodies {
			totals[body] += count
		}
	}
	for _, count := range totals {
		executed++
		if count > 1 {
			duplicated++
		}
	}
	return executed, duplicated
}
