package soak

import (
	"testing"
	"time"
)

// The bounds of time for VMs in touch, as the settings of the stand-ins tell them.
const (
	// soakStable is how long nothing has to harm a VM until it is in touch.
	soakStable = 3 * time.Second
	soakConfig = 2 * time.Second
)

// everyVM stands for all VMs in a soakSpell.
const everyVM = -1

// soakSpell is a span in which something harmed a VM, or all of them.
type soakSpell struct {
	gateway  int
	from, to time.Time
	what     string
}

// inTouch reports whether a VM was in touch from one time to another: nothing harmed it
// then, nor in the stable time before.
func inTouch(spells []soakSpell, gateway int, from, to time.Time) bool {
	for _, spell := range spells {
		if !spell.harms(gateway) {
			continue
		}
		if spell.from.Before(to) && spell.to.Add(soakStable).After(from) {
			return false
		}
	}
	return true
}

// touchedFor returns how long a VM was in touch between two times.
func touchedFor(spells []soakSpell, gateway int, from, to time.Time) time.Duration {
	const step = 50 * time.Millisecond
	var touched time.Duration
	for at := from; at.Before(to); at = at.Add(step) {
		if inTouch(spells, gateway, at, at.Add(step)) {
			touched += step
		}
	}
	return touched
}

func (s *soakSpell) harms(gateway int) bool {
	return s.gateway == everyVM || s.gateway == gateway
}

// TestInTouch lists spells around one second of one VM.
func TestInTouch(t *testing.T) {
	start := time.Now()
	from, to := start.Add(time.Minute), start.Add(time.Minute+time.Second)
	second := time.Second
	for name, test := range map[string]struct {
		spell soakSpell
		want  bool
	}{
		"nothing":                        {soakSpell{gateway: 0, from: start, to: start}, true},
		"long before":                    {soakSpell{gateway: 0, from: start, to: from.Add(-soakStable)}, true},
		"within the stable time before":  {soakSpell{gateway: 0, from: start, to: from.Add(-soakStable + 1)}, false},
		"in it":                          {soakSpell{gateway: 0, from: from.Add(second / 4), to: from.Add(second / 2)}, false},
		"all through":                    {soakSpell{gateway: 0, from: start, to: to.Add(second)}, false},
		"afterwards":                     {soakSpell{gateway: 0, from: to, to: to.Add(second)}, true},
		"of another VM":                  {soakSpell{gateway: 1, from: from, to: to}, true},
		"of all VMs":                     {soakSpell{gateway: everyVM, from: from, to: to}, false},
		"of all VMs in the stable time":  {soakSpell{gateway: everyVM, from: start, to: from.Add(-second)}, false},
		"a moment within the stable one": {soakSpell{gateway: 0, from: from.Add(-second), to: from.Add(-second)}, false},
	} {
		if got := inTouch([]soakSpell{test.spell}, 0, from, to); got != test.want {
			t.Errorf("%s: in touch is %v", name, got)
		}
	}
}

func TestTimeInTouch(t *testing.T) {
	start := time.Now()
	spells := []soakSpell{
		{gateway: 0, from: start, to: start.Add(time.Second)},
		{gateway: everyVM, from: start.Add(2 * time.Second), to: start.Add(2 * time.Second)},
	}
	if got := touchedFor(spells, 0, start, start.Add(8*time.Second)); got != 3*time.Second {
		t.Errorf("VM 0 was in touch for %v, want 3s", got)
	}
	if got := touchedFor(spells, 1, start, start.Add(8*time.Second)); got != 5*time.Second {
		t.Errorf("VM 1 was in touch for %v, want 5s", got)
	}
}
