package gossip

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestVMsAreFoundThroughLateSeeds starts the seeds of a fleet last, so that the first
// reports of the other VMs are lost. 1.5 s later each VM must know at least half of the
// fleet.
func TestVMsAreFoundThroughLateSeeds(t *testing.T) {
	const count, spread, lag, allowed = 295, 300 * time.Millisecond, 600 * time.Millisecond, 1500 * time.Millisecond
	f := newEmulatedFleet(count, spread, lag, rand.New(rand.NewPCG(3, 4)))
	for end := f.now.Add(spread + lag + allowed); f.now < end; {
		f.step()
	}
	for _, vm := range f.vms {
		if known := vm.table.KnownVMs(); known < count/2 {
			t.Errorf("%s knows %d of %d VMs", vm.address, known, count-1)
		}
	}
}
