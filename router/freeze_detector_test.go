package router

import (
	"testing"
	"time"
)

func TestDetectorNoticesFreezes(t *testing.T) {
	start := time.Now()
	d := newFreezeDetector(start)
	if woken := d.check(start.Add(freezeCheckPeriod)); !woken.IsZero() {
		t.Errorf("a running process woke at %v", woken)
	}
	wake := start.Add(20 * time.Second)
	if woken := d.check(wake); !woken.Equal(wake) {
		t.Errorf("a freeze of 20 s is not detected at once: %v", woken)
	}
	if woken := d.check(wake.Add(freezeCheckPeriod)); !woken.Equal(wake) {
		t.Errorf("the freeze is forgotten: %v", woken)
	}
}

func TestDetectorNoticesSuspendedVM(t *testing.T) {
	d := newFreezeDetector(time.Now())
	// Without its monotonic reading, the time simulates a monotonic clock that stood still.
	wake := time.Now().Round(0).Add(20 * time.Second)
	if woken := d.check(wake); woken.IsZero() {
		t.Error("a jump of the wall clock is not detected")
	}
}
