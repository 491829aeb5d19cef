package clocktest

import (
	"testing"
	"testing/synctest"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

func TestClockFollowsVirtualTime(t *testing.T) {
	real := clock.Now()
	synctest.Test(t, func(t *testing.T) {
		UseVirtualTime(t)
		began := clock.Now()
		time.Sleep(time.Hour)
		if got := clock.Now().Sub(began); got != time.Hour {
			t.Errorf("an hour of virtual time took %v", got)
		}
	})
	if got := clock.Now().Sub(real); got < 0 || got > time.Minute {
		t.Errorf("the boot-time clock is off by %v after the test", got)
	}
}
