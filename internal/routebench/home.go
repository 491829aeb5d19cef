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
	ledger    *balance.Ledger
	admission *balance.Admission
	index     *affinity.Index
	standing  balance.Standing
	reported  map[string]bool
}

// newHome returns a home that is the only router that may act.
func newHome(f *Fleet) *home {
	ledger := balance.NewLedger(f.limits, exchangePeriod)
	return &home{
		ledger:    ledger,
		admission: balance.NewAdmission(ledger, exchangePeriod, 0, f.clock()),
		index:     affinity.NewIndex(indexEntries, indexKeep),
		standing:  balance.Standing{Role: balance.RoleHome, Since: f.clock(), Alone: true},
		reported:  map[string]bool{},
	}
}

// admit holds room for a request at an engine. last tells that no engine has
// room below the multiple.
func (h *home) admit(address string, r *Request, mean float64, engines int, last bool, now time.Time) (*balance.Reservation, error) {
	if !h.reported[address] {
		h.reported[address] = true
		h.ledger.Report(address, h.ledger.AskReport(address), endpoint.Load{}, now, now)
	}
	return h.admission.Admit(balance.Request{
		Engine:      address,
		Model:       model,
		Workspace:   r.Workspace,
		Priority:    r.Priority,
		Tokens:      r.Bound,
		MeanTokens:  mean,
		Engines:     engines,
		GrownTokens: mean,
		Last:        last,
	}, h.standing, now)
}
