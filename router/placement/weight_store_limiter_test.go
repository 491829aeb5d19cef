package placement

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestSharesSumToTheRate checks that the fleet stays below the weight store's
// rate for an hour, with every router restarted several times in it.
func TestSharesSumToTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const routers, perMinute, minutes, restartEvery = 8, 60, 60, 7
		shares := make([]*WeightStoreLimiter, routers)
		loads := 0
		for minute := range minutes {
			for i := range shares {
				if (minute+i)%restartEvery == 0 {
					shares[i] = nil
				}
			}
			for range 60 {
				for i := range shares {
					if shares[i] == nil {
						shares[i] = NewWeightStoreLimiter(perMinute)
					}
					if shares[i].Allow(routers) {
						loads++
					}
				}
				time.Sleep(time.Second)
			}
		}
		if loads > perMinute*minutes || loads < perMinute*minutes/2 {
			t.Errorf("%d loads in %d minutes at %d a minute", loads, minutes, perMinute)
		}
	})
}
