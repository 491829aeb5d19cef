package gateway

import (
	"testing"
	"time"
)

// TestWhichVMsWaitAtTheirStart checks which VMs wait before they read the store: in a first start
// of the whole fleet and in a later start of a single VM.
func TestWhichVMsWaitAtTheirStart(t *testing.T) {
	times := defaultFirstStartTimes
	for name, test := range map[string]struct {
		start startState
		waits bool
	}{
		"a later start":                  {startState{elapsed: time.Millisecond, betterReader: true}, false},
		"first start, hearing":           {startState{elapsed: times.discovery / 2, firstStart: true}, true},
		"first start, first of all":      {startState{elapsed: times.discovery, firstStart: true}, false},
		"first start, another one reads": {startState{elapsed: times.discovery, firstStart: true, betterReader: true}, true},
		"first start, it does not":       {startState{elapsed: times.read, firstStart: true, betterReader: true}, false},
	} {
		test.start.times = times
		if shouldWait := test.start.shouldWait(); shouldWait != test.waits {
			t.Errorf("%s: shouldWait is %v", name, shouldWait)
		}
	}
}

// TestFirstStartReadsTheStoreFewTimes starts several VMs of one failure domain at the same
// time: only some of them may read the store.
func TestFirstStartReadsTheStoreFewTimes(t *testing.T) {
	const count = 6
	f := startTestFleet(t, count, true)
	if ranges, limit := f.store.RangeCalls(), rangeCallsPerRead*count/2; ranges > limit {
		t.Errorf("%d range calls, want at most %d", ranges, limit)
	}
}

// rangeCallsPerRead is the number of range calls of a complete read: the configuration and one
// page of endpoints.
const rangeCallsPerRead = 2
