package routebench

import (
	"time"

	"cardamompoint.example/cardamompoint/router/affinity"
	"cardamompoint.example/cardamompoint/router/balance"
	"cardamompoint.example/cardamompoint/router/endpoint"
)

const model = "model"

// The size and retention time of a home's index.
const (
	indexEntries   = 1 << 17
	indexRetention = 30 * time.Minute
)

// home is the state of one router for the engines that it manages.
type home struct {
	tracker    *balance.LoadTracker
	admission  *balance.Admission
	index      *affinity.Index
	assignment balance.Assignment
	// reported holds the engines for which a load report has been recorded.
	reported map[string]bool
}

// newHome returns a home without a backup.
func newHome(f *Fleet) *home {
	tracker := balance.NewLoadTracker(f.limits, exchangePeriod)
	return &home{
		tracker:    tracker,
		admission:  balance.NewAdmission(tracker, exchangePeriod, 0, f.clock()),
		index:      affinity.NewIndex(indexEntries, indexRetention),
		assignment: balance.Assignment{Role: balance.RoleHome, Since: f.clock(), SoleRouter: true},
		reported:   map[string]bool{},
	}
}

// admit reserves capacity for a request at an engine. lastResort reports whether
// no candidate has capacity below the load multiple.
func (h *home) admit(address string, r *Request, mean float64, engines int, lastResort bool, now time.Time) (*balance.Reservation, error) {
	if !h.reported[address] {
		h.reported[address] = true
		h.tracker.RecordReport(address, h.tracker.StartReport(address), endpoint.Load{}, now, now)
	}
	return h.admission.Admit(balance.Request{
		Engine:              address,
		Model:               model,
		Workspace:           r.Workspace,
		Priority:            r.Priority,
		Tokens:              r.MaxAnswerTokens,
		MeanTokens:          mean,
		EngineCount:         engines,
		ProjectedMeanTokens: mean,
		LastResort:          lastResort,
	}, h.assignment, now)
}
