package placement

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestSharesSumToTheRate checks that the whole fleet stays within the weight
// store's rate for an hour in which each router is restarted several times.
func TestSharesSumToTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const routers, perMinute, minutes, restartEvery = 8, 60, 60, 7
		limiters := make([]*WeightStoreLimiter, routers)
		loads := 0
		for minute := range minutes {
			for i := range limiters {
				if (minute+i)%restartEvery == 0 {
					limiters[i] = nil
				}
			}
			for range 60 {
				for i := range limiters {
					if limiters[i] == nil {
						limiters[i] = NewWeightStoreLimiter(perMinute)
					}
					if limiters[i].Allow(routers) {
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
