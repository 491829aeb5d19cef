package balance

import (
	"time"

	"cardamompoint.example/cardamompoint/router/template"
)

// engineCount is what a router counts of one engine. The ledger's lock guards
// it.
type engineCount struct {
	load         ModelLoad
	byModel      map[string]ModelLoad
	byWorkspace  map[string]ModelLoad
	tags         map[string]ModelLoad
	reservations map[*Reservation]struct{}

	reports reports
	start   slowStart
}

func newEngineCount() *engineCount {
	return &engineCount{
		byModel:      map[string]ModelLoad{},
		byWorkspace:  map[string]ModelLoad{},
		tags:         map[string]ModelLoad{},
		reservations: map[*Reservation]struct{}{},
	}
}

// of returns the workspace's load, or that of its tags alone.
func (c *engineCount) of(workspace string, tags bool) ModelLoad {
	if tags {
		return c.tags[workspace]
	}
	return c.byWorkspace[workspace]
}

// reported reports whether a load report of the engine is known.
func (c *engineCount) reported() bool {
	return len(c.reports.samples) > 0
}

// add changes the counts of one request's model and workspace. Entries that
// fall to no request are dropped.
func (c *engineCount) add(request Request, change ModelLoad) {
	c.load = c.load.plus(change)
	addTo(c.byModel, request.Model, change)
	addTo(c.byWorkspace, request.Workspace, change)
	if request.Priority == template.PriorityTag {
		addTo(c.tags, request.Workspace, change)
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

// shown returns the work of this router that an engine's report must contain:
// streams that had delivered a line before the report was asked for and are
// still in progress.
func (c *engineCount) shown(asked uint64) (load ModelLoad) {
	for reservation := range c.reservations {
		if reservation.started == 0 || reservation.started > asked {
			continue
		}
		load.Requests++
		load.Tokens += reservation.left
	}
	return load
}

// room returns the room that right opens at now. It reports false if no report
// shows what others have admitted. A home whose newest report is older than
// maxAge gets the backup's fraction; a backup gets nothing.
func (c *engineCount) room(right Allowance, maxAge time.Duration, now time.Time) (room, bool) {
	if right.Fraction == FractionWhole {
		foreign, ok := c.reports.leastSince(right.ReportsSince)
		return room{right: right, foreign: foreign}, ok
	}
	newest, ok := c.reports.newest()
	if !ok || newest.at.Before(right.ReportsSince) {
		return room{}, false
	}
	foreign := newest.foreign
	if now.Sub(newest.at) <= maxAge {
		return room{right: right, foreign: foreign}, true
	}
	home := right.Fraction == FractionHome
	right.Fraction = FractionBackup
	return room{right: right, foreign: foreign, stale: true}, home
}
