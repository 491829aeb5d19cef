package main

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
)

// perRouter is the number of deposits of each kind and router in the
// measurement of what the loss of a router costs.
const perRouter = 10

// TestDepositsAfterTheLossOfARouter measures how much work is refused or
// unknown after one router out of eight is lost, and that it is no more than
// the rule needs: only what the lost router alone could know.
func TestDepositsAfterTheLossOfARouter(t *testing.T) {
	for name, signal := range map[string]syscall.Signal{"killed": syscall.SIGKILL, "frozen": syscall.SIGSTOP} {
		t.Run(name, func(t *testing.T) {
			f := startOnceFleet(t)
			const lost = 8
			heldTickets := f.deposits(t, "held ticket", func(n int) int { return 1 + n%8 })
			ranKeys := f.deposits(t, "ran key", func(int) int { return 0 })
			f.sendAll(ranKeys)
			f.signal(f.name(lost), signal)
			newKeys := f.deposits(t, "new key", func(int) int { return 0 })
			newTickets := f.deposits(t, "new ticket", func(n int) int { return 1 + n%7 })
			f.sendAll(newKeys, newTickets, heldTickets, ranKeys)
			if signal == syscall.SIGSTOP {
				f.signal(f.name(lost), syscall.SIGCONT)
			}
			for _, group := range [][]*deposit{newKeys, newTickets, heldTickets, ranKeys} {
				t.Logf("router %s, %s: %d of %d not answered", name, group[0].body, unanswered(group), len(group))
			}
			if unanswered(newKeys) > 0 || unanswered(newTickets) > 0 {
				t.Error("new work is refused although seven of eight routers are left")
			}
			if n := unanswered(heldTickets); n > perRouter {
				t.Errorf("%d tickets are refused, the lost router made %d", n, perRouter)
			}
			all := append(append(append(newKeys, newTickets...), heldTickets...), ranKeys...)
			counts := f.countRuns(all)
			t.Logf("router %s: %s", name, counts)
			checkCounts(t, counts, false)
		})
	}
}

// deposits makes work for each router.
func (f *testFleet) deposits(t *testing.T, name string, ticketFrom func(n int) int) []*deposit {
	t.Helper()
	var deposits []*deposit
	for n := range 8 * perRouter {
		d, err := f.newDeposit(fmt.Sprintf("%s %d", name, n), ticketFrom(n))
		if err != nil {
			t.Fatal(err)
		}
		deposits = append(deposits, d)
	}
	return deposits
}

// sendAll sends each deposit once, at the routers 1 to 7 in turn.
func (f *testFleet) sendAll(groups ...[]*deposit) {
	var sends sync.WaitGroup
	for _, group := range groups {
		for i, d := range group {
			sends.Go(func() { f.send(d, 1+i%7) })
		}
	}
	sends.Wait()
}

// unanswered counts deposits whose last answer was not the work's own.
func unanswered(deposits []*deposit) int {
	count := 0
	for _, d := range deposits {
		if d.last != 0 {
			count++
		}
	}
	return count
}
