package routebench

import (
	"time"

	"cardamompoint.example/cardamompoint/router/affinity"
	"cardamompoint.example/cardamompoint/router/balance"
	"cardamompoint.example/cardamompoint/router/endpoint"
)

const model = "model"

// The bounds of a home's index.
const (
	indexEntries = 1 << 17
	indexKeep    = 30 * time.Minute
)

// home is what one router knows of the engines that it manages.
type home struct {
	ledger    *balance.LoadTracker
	admission *balance.Admission
	index     *affinity.Index
	standing  balance.Assignment
	reported  map[string]bool
}

// newHome returns a home that is the only router that may act.
func newHome(f *Fleet) *home {
	ledger := balance.NewLoadTracker(f.limits, exchangePeriod)
	return &home{
		ledger:    ledger,
		admission: balance.NewAdmission(ledger, exchangePeriod, 0, f.clock()),
		index:     affinity.NewIndex(indexEntries, indexKeep),
		standing:  balance.Assignment{Role: balance.RoleHome, Since: f.clock(), SoleRouter: true},
		reported:  map[string]bool{},
	}
}

// admit holds room for a request at an engine. last tells that no engine has
// room below the multiple.
func (h *home) admit(address string, r *Request, mean float64, engines int, last bool, now time.Time) (*balance.Reservation, error) {
	if !h.reported[address] {
		h.reported[address] = true
		h.ledger.RecordReport(address, h.ledger.StartReport(address), endpoint.Load{}, now, now)
	}
	return h.admission.Admit(balance.Request{
		Engine:              address,
		Model:               model,
		Workspace:           r.Workspace,
		Priority:            r.Priority,
		Tokens:              r.Bound,
		MeanTokens:          mean,
		EngineCount:         engines,
		ProjectedMeanTokens: mean,
		LastResort:          last,
	}, h.standing, now)
}
