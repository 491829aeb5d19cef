package gateway

import (
	"testing"
	"time"
)

// TestWhoWaitsAtItsStart lists starts of one VM and of all for the first time.
func TestWhoWaitsAtItsStart(t *testing.T) {
	for name, test := range map[string]struct {
		start startState
		holds bool
	}{
		"a later start":                  {startState{elapsed: time.Millisecond, betterReader: true}, false},
		"first start, hearing":           {startState{elapsed: discoveryTime / 2, firstStart: true}, true},
		"first start, first of all":      {startState{elapsed: discoveryTime, firstStart: true}, false},
		"first start, another one reads": {startState{elapsed: discoveryTime, firstStart: true, betterReader: true}, true},
		"first start, it does not":       {startState{elapsed: firstReadTimeout, firstStart: true, betterReader: true}, false},
	} {
		if holds := test.start.shouldWait(); holds != test.holds {
			t.Errorf("%s: holds is %v", name, holds)
		}
	}
}

// TestFirstStartReadsTheStoreFewTimes starts VMs of one failure domain together:
// not each of them reads the store.
func TestFirstStartReadsTheStoreFewTimes(t *testing.T) {
	const count = 6
	f := startTestFleet(t, count, true)
	if ranges, limit := f.store.RangeCalls(), rangeCallsPerRead*count/2; ranges > limit {
		t.Errorf("%d calls that read everything, want at most %d", ranges, limit)
	}
}

// rangeCallsPerRead is the number of calls of a whole read: the configuration and
// one page of endpoints.
const rangeCallsPerRead = 2
