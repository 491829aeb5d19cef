package balance

import (
	"time"

	"cardamompoint.example/cardamompoint/router/endpoint"
)

// AskReport notes that a load report of the engine is asked for. Its number
// goes to Report.
func (l *LoadTracker) StartReport(engine string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := l.engine(engine)
	count.reports.asked++
	return count.reports.asked
}

// Report takes in the engine's report with the given number, which was asked
// for at sampled and came at now.
func (l *LoadTracker) RecordReport(engine string, number uint64, load endpoint.Load, sampled, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := l.engine(engine)
	count.reports.take(load, count.shown(number), sampled)
	count.start.answer(now)
}

// ReportFailed counts a report that did not come. It reports whether the engine
// is down by that.
func (l *LoadTracker) RecordReportFailure(engine string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := l.engine(engine)
	count.reports.failures++
	if count.reports.failures == failuresDown {
		count.start.fail()
	}
	return count.reports.failures >= failuresDown
}

// Silent reports whether so many reports failed that the engine is down.
func (l *LoadTracker) Unresponsive(engine string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engine(engine).reports.failures >= failuresDown
}

// Appeared starts the slow start of an engine that is new in the list of VMs.
func (l *LoadTracker) EngineAdded(engine string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.engine(engine).start.appeared(now)
}

// reporting returns the number of engines whose load reports are read.
func (l *LoadTracker) reporting() int {
	number := 0
	for _, count := range l.engines {
		if count.reported() {
			number++
		}
	}
	return max(1, number)
}
