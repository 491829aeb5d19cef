package demo

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// beforeLoss is when the engine is stopped after the chats were asked.
const beforeLoss = 20 * time.Millisecond

// loseEngine stops the busiest engine while answers are in progress and checks
// that every answer is whole.
func (d *run) loseEngine(ctx context.Context) error {
	workspaces := d.workspaces()
	var whole, moved atomic.Int64
	var group errgroup.Group
	for i := range parallelAsks {
		c := &chat{workspace: workspaces[i%len(workspaces)], name: fmt.Sprintf("loss-%d", i)}
		group.Go(func() error {
			answer, err := d.ask(ctx, c, i, 0)
			if err != nil {
				return nil
			}
			whole.Add(1)
			if len(answer.Engines) > 1 {
				moved.Add(1)
			}
			return nil
		})
	}
	time.Sleep(beforeLoss)
	engine := d.busiestEngine()
	if err := d.fleet.servers[engine].Close(); err != nil {
		return err
	}
	group.Wait()
	d.report.check(whole.Load() == parallelAsks, "engine lost: %d answers in progress, %d whole, %d went on at another engine",
		parallelAsks, whole.Load(), moved.Load())
	return nil
}

// busiestEngine returns the engine with the most tokens in progress.
func (d *run) busiestEngine() string {
	busiest, most := "", -1
	for address, engine := range d.fleet.engines {
		if tokens := engine.Load().Tokens; tokens > most {
			busiest, most = address, tokens
		}
	}
	return busiest
}
