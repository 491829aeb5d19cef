package balance

import (
	"time"

	"cardamompoint.example/cardamompoint/router/endpoint"
)

// StartReport records that a load report is requested from the engine. It
// returns the report's sequence number, which RecordReport takes.
func (l *LoadTracker) StartReport(engine string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.engine(engine)
	state.reports.lastSequence++
	return state.reports.lastSequence
}

// RecordReport records the engine's report with the given sequence number, which
// was requested at sampledAt and arrived at now.
func (l *LoadTracker) RecordReport(engine string, sequence uint64, load endpoint.Load, sampledAt, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.engine(engine)
	state.reports.add(load, state.visibleLoad(sequence), sampledAt)
	state.slowStart.markUp(now)
}

// RecordReportFailure counts a report that failed. It reports whether the engine
// counts as down.
func (l *LoadTracker) RecordReportFailure(engine string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.engine(engine)
	state.reports.consecutiveFailures++
	if state.reports.consecutiveFailures == downAfterFailures {
		state.slowStart.markDown()
	}
	return state.reports.consecutiveFailures >= downAfterFailures
}

// Unresponsive reports whether so many consecutive reports failed that the
// engine counts as down.
func (l *LoadTracker) Unresponsive(engine string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engine(engine).reports.consecutiveFailures >= downAfterFailures
}

// EngineAdded begins the slow start of an engine that is new in the list of VMs.
func (l *LoadTracker) EngineAdded(engine string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.engine(engine).slowStart.engineAdded(now)
}

// reportingEngines returns the number of engines that have sent a load report,
// but at least 1.
func (l *LoadTracker) reportingEngines() int {
	number := 0
	for _, state := range l.engines {
		if state.hasReport() {
			number++
		}
	}
	return max(1, number)
}
