package clock

import (
	"testing"
	"time"
)

func TestGapTakesTheClockThatMovedFurther(t *testing.T) {
	from := time.Now()
	monotonic := from.Add(3 * time.Second)
	if got := Gap(from, monotonic); got != 3*time.Second {
		t.Errorf("both clocks: %v", got)
	}
	wallOnly := from.Round(0).Add(time.Hour)
	if got := Gap(from, wallOnly); got != time.Hour {
		t.Errorf("wall clock alone: %v", got)
	}
}
