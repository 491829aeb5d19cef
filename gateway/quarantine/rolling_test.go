package quarantine

import (
	"testing"
	"time"
)

const (
	// rollingTime is the time in which all engines end, one after the other.
	rollingTime = 1500 * time.Millisecond
	// rollingCrashes is how often they do.
	rollingCrashes = 4
	// rollingSeeds is the number of seeds that are played.
	rollingSeeds = 5
)

// TestEnginesThatEndOneAfterTheOtherCondemnNoPart guards against sound prompts that are refused after all engines ended in a row.
func TestEnginesThatEndOneAfterTheOtherCondemnNoPart(t *testing.T) {
	for _, vms := range []int{7, 60} {
		for seed := range uint64(rollingSeeds) {
			f := newEmulatedFleet(fleetOptions{vms: vms, engines: 18, soundRate: 100, templates: 4, documents: 300, deadlyParts: 1, seed: seed})
			f.countFrom = f.now
			f.run(3 * time.Second)
			for range rollingCrashes {
				f.crashInTurn(rollingTime)
				f.run(restartDuration + time.Duration(f.random.IntN(200))*time.Millisecond)
			}
			f.run(10 * time.Second)
			f.check(t)
		}
	}
}

// crashInTurn ends all engines in random order, evenly in a time.
func (f *emulatedFleet) crashInTurn(within time.Duration) {
	for _, i := range f.random.Perm(len(f.engines)) {
		f.crash(f.engines[i])
		f.run(within / time.Duration(len(f.engines)))
	}
}
