package balance

import (
	"time"

	"cardamompoint.example/cardamompoint/router/template"
)

// engineState is what a router knows of one engine: the load that it admitted
// there, the engine's load reports and its slow start. The LoadTracker's lock
// guards it.
type engineState struct {
	load        ModelLoad
	byModel     map[string]ModelLoad
	byWorkspace map[string]ModelLoad
	// tagLoads are the loads of tags, by workspace.
	tagLoads     map[string]ModelLoad
	reservations map[*Reservation]struct{}

	reports   reportHistory
	slowStart slowStart
}

func newEngineState() *engineState {
	return &engineState{
		byModel:      map[string]ModelLoad{},
		byWorkspace:  map[string]ModelLoad{},
		tagLoads:     map[string]ModelLoad{},
		reservations: map[*Reservation]struct{}{},
	}
}

// workspaceLoad returns the workspace's load, or only that of its tags.
func (s *engineState) workspaceLoad(workspace string, tagsOnly bool) ModelLoad {
	if tagsOnly {
		return s.tagLoads[workspace]
	}
	return s.byWorkspace[workspace]
}

// hasReport reports whether the engine has sent a load report.
func (s *engineState) hasReport() bool {
	return len(s.reports.samples) > 0
}

// add adds change to the engine's load and to the loads of the request's model
// and workspace. Models and workspaces without a request are removed.
func (s *engineState) add(request Request, change ModelLoad) {
	s.load = s.load.plus(change)
	addTo(s.byModel, request.Model, change)
	addTo(s.byWorkspace, request.Workspace, change)
	if request.Priority == template.PriorityTag {
		addTo(s.tagLoads, request.Workspace, change)
	}
}

func addTo(loads map[string]ModelLoad, key string, change ModelLoad) {
	sum := loads[key].plus(change)
	if sum.Requests == 0 {
		delete(loads, key)
		return
	}
	loads[key] = sum
}

// visibleLoad returns this router's own load that the engine's report with the
// given sequence number must contain: streams that had delivered a line before
// the report was requested and are still in progress.
func (s *engineState) visibleLoad(sequence uint64) (load ModelLoad) {
	for reservation := range s.reservations {
		if reservation.firstReport == 0 || reservation.firstReport > sequence {
			continue
		}
		load.Requests++
		load.Tokens += reservation.remainingTokens
	}
	return load
}

// headroom returns the capacity that allowance covers at now. It reports false
// if no load report shows what other routers have admitted. If the newest report
// is older than maxAge, a home gets the backup's fraction and a backup gets
// nothing.
func (s *engineState) headroom(allowance Allowance, maxAge time.Duration, now time.Time) (headroom, bool) {
	if allowance.Fraction == FractionWhole {
		foreign, ok := s.reports.minForeignSince(allowance.ReportsSince)
		return headroom{allowance: allowance, foreign: foreign}, ok
	}
	newest, ok := s.reports.newest()
	if !ok || newest.sampledAt.Before(allowance.ReportsSince) {
		return headroom{}, false
	}
	foreign := newest.foreign
	if now.Sub(newest.sampledAt) <= maxAge {
		return headroom{allowance: allowance, foreign: foreign}, true
	}
	isHome := allowance.Fraction == FractionHome
	allowance.Fraction = FractionBackup
	return headroom{allowance: allowance, foreign: foreign, stale: true}, isHome
}
