package demo

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"
)

// depositPaths are the routes of work that may not be repeated, by deployment.
var depositPaths = map[string]string{
	"gelek":  "/lanes/deposits",
	"urverk": "/repairs/orders",
}

// sendDeposits sends each deposit twice, at two routers at the same moment:
// every other one with a ticket, the rest with a key of the caller's own.
func (d *run) sendDeposits(ctx context.Context) error {
	if err := d.waitForOwnKeys(ctx); err != nil {
		return err
	}
	path := depositPaths[d.options.Deployment]
	workspace := d.workspaces()[0]
	var failed atomic.Int64
	var group errgroup.Group
	group.SetLimit(parallelAsks)
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
	runs, doubled := d.countBodies()
	d.report.check(runs == d.options.Deposits && doubled == 0 && failed.Load() == 0,
		"deposits: %d sent twice each, %d run, %d run more than once, %d without an answer",
		d.options.Deposits, runs, doubled, failed.Load())
	return nil
}

// ownKeyMargin is added to the age that routers need.
const ownKeyMargin = 500 * time.Millisecond

// waitForOwnKeys waits until the routers are old enough to vouch for keys that
// callers make from now on.
func (d *run) waitForOwnKeys(ctx context.Context) error {
	timing := d.fleet.settings[0].Timing
	age := time.Duration(2*timing.ClockSkewMS+timing.PollMS)*time.Millisecond + ownKeyMargin
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Until(d.fleet.readyAt.Add(age))):
		return nil
	}
}

// depositKey returns a ticket or a key of the caller's own.
func (d *run) depositKey(ctx context.Context, deposit int, workspace string) (string, error) {
	if deposit%2 == 0 {
		return d.client(deposit).Ticket(ctx, workspace)
	}
	key, err := uuid.NewV7()
	return key.String(), err
}

// countBodies returns how many bodies were run, and how many more than once.
func (d *run) countBodies() (runs, doubled int) {
	totals := map[string]int{}
	for _, service := range d.fleet.services {
		for body, count := range service.Runs().Bodies {
			totals[body] += count
		}
	}
	for _, count := range totals {
		runs++
		if count > 1 {
			doubled++
		}
	}
	return runs, doubled
}
