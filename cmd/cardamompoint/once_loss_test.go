package main

import (
	"fmt"
	"syscall"
	"testing"

	"golang.org/x/sync/errgroup"
)

// depositsPerRouter is the number of deposits of each kind for each router.
const depositsPerRouter = 10

// maxParallelSends bounds the requests in progress.
const maxParallelSends = 32

// TestDepositsAfterTheLossOfARouter loses one of eight routers and counts the work that is
// rejected or has an unknown outcome. Only work whose state was at the lost router alone may
// be affected; new work must run.
func TestDepositsAfterTheLossOfARouter(t *testing.T) {
	for name, signal := range map[string]syscall.Signal{"killed": syscall.SIGKILL, "frozen": syscall.SIGSTOP} {
		t.Run(name, func(t *testing.T) {
			f := startDepositFleet(t, longSuspectMS)
			const lost = 8
			heldTickets := f.newDeposits(t, "held ticket", func(n int) int { return 1 + n%8 })
			ranKeys := f.newDeposits(t, "ran key", func(int) int { return 0 })
			f.sendAll(ranKeys)
			f.signal(f.routerName(lost), signal)
			newKeys := f.newDeposits(t, "new key", func(int) int { return 0 })
			newTickets := f.newDeposits(t, "new ticket", func(n int) int { return 1 + n%7 })
			f.sendAll(newKeys, newTickets, heldTickets, ranKeys)
			if signal == syscall.SIGSTOP {
				f.signal(f.routerName(lost), syscall.SIGCONT)
			}
			for _, group := range [][]*deposit{newKeys, newTickets, heldTickets, ranKeys} {
				t.Logf("router %s, %s: %d of %d not answered", name, group[0].body, unanswered(group), len(group))
			}
			if unanswered(newKeys) > 0 || unanswered(newTickets) > 0 {
				t.Error("new work is rejected although seven of eight routers are left")
			}
			if n := unanswered(heldTickets); n > depositsPerRouter {
				t.Errorf("%d tickets are rejected, the lost router issued %d", n, depositsPerRouter)
			}
			all := append(append(append(newKeys, newTickets...), heldTickets...), ranKeys...)
			counts := f.countRuns(all)
			t.Logf("router %s: %s", name, counts)
			checkCounts(t, counts, false)
		})
	}
}

// newDeposits returns depositsPerRouter deposits for each of the eight routers. ticketFrom
// returns the router that issues the n-th ticket, 0 for a caller key.
func (f *testFleet) newDeposits(t *testing.T, name string, ticketFrom func(n int) int) []*deposit {
	t.Helper()
	var deposits []*deposit
	for n := range 8 * depositsPerRouter {
		d, err := f.newDeposit(fmt.Sprintf("%s %d", name, n), ticketFrom(n))
		if err != nil {
			t.Fatal(err)
		}
		deposits = append(deposits, d)
	}
	return deposits
}

// sendAll sends each deposit once, to the routers 1 to 7 in turn.
func (f *testFleet) sendAll(groups ...[]*deposit) {
	var sends errgroup.Group
	sends.SetLimit(maxParallelSends)
	for _, group := range groups {
		for i, d := range group {
			sends.Go(func() error {
				f.send(d, 1+i%7)
				return nil
			})
		}
	}
	sends.Wait()
}

// unanswered returns the number of deposits whose last answer was an error.
func unanswered(deposits []*deposit) int {
	count := 0
	for _, d := range deposits {
		if d.last != 0 {
			count++
		}
	}
	return count
}
