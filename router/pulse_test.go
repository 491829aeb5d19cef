package router

import (
	"testing"
	"time"
)

func TestPulseNoticesFreezes(t *testing.T) {
	start := time.Now()
	p := newPulse(start)
	if woken := p.check(start.Add(pulsePeriod)); !woken.IsZero() {
		t.Errorf("a running process woke at %v", woken)
	}
	wake := start.Add(20 * time.Second)
	if woken := p.check(wake); !woken.Equal(wake) {
		t.Errorf("a freeze of 20 s is not noticed at once: %v", woken)
	}
	if woken := p.check(wake.Add(pulsePeriod)); !woken.Equal(wake) {
		t.Errorf("the freeze is forgotten: %v", woken)
	}
}

func TestPulseNoticesSuspendedVM(t *testing.T) {
	p := newPulse(time.Now())
	// A time without its monotonic part stands for a clock that stood still.
	wake := time.Now().Round(0).Add(20 * time.Second)
	if woken := p.check(wake); woken.IsZero() {
		t.Error("a jump of the wall clock is not noticed")
	}
}
