package demo

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// engineLossDelay is the time from sending the requests to stopping the engine.
const engineLossDelay = 20 * time.Millisecond

// checkEngineLoss stops the busiest engine while answers are in progress and checks that
// all answers are complete.
func (d *demoRun) checkEngineLoss(ctx context.Context) error {
	workspaces := d.workspaces()
	var complete, moved atomic.Int64
	var group errgroup.Group
	for i := range maxParallelRequests {
		c := &chat{workspace: workspaces[i%len(workspaces)], name: fmt.Sprintf("loss-%d", i)}
		group.Go(func() error {
			answer, err := d.requestAnswer(ctx, c, i, 0)
			if err != nil {
				return nil
			}
			complete.Add(1)
			if len(answer.Engines) > 1 {
				moved.Add(1)
			}
			return nil
		})
	}
	time.Sleep(engineLossDelay)
	engine := d.busiestEngine()
	if err := d.fleet.servers[engine].Close(); err != nil {
		return err
	}
	group.Wait()
	d.report.check(complete.Load() == maxParallelRequests, "engine lost: %d answers in progress, %d whole, %d went on at another engine",
		maxParallelRequests, complete.Load(), moved.Load())
	return nil
}

// busiestEngine returns the address of the engine with the most tokens in progress.
func (d *demoRun) busiestEngine() string {
	busiest, most := "", -1
	for address, engine := range d.fleet.engines {
		if tokens := engine.Load().Tokens; tokens > most {
			busiest, most = address, tokens
		}
	}
	return busiest
}
