package routebench

import "time"

// Scenario defines the replacements of VMs during the measured time.
type Scenario struct {
	// Name is the scenario's name in tables.
	Name string
	// EnginesPer100 is the percentage of the engines that are replaced, one after
	// the other.
	EnginesPer100 int
	// ReplaceRouters reports whether each router is replaced once, one after the
	// other.
	ReplaceRouters bool
}

// The scenarios.
var (
	Steady  = Scenario{Name: "steady"}
	Engines = Scenario{Name: "engines", EnginesPer100: 10}
	Routers = Scenario{Name: "routers", ReplaceRouters: true}
)

// The times of a run.
const (
	// warmUp is the time before results are counted.
	warmUp = 80 * time.Minute
	// measuredTime is the time in which results are counted.
	measuredTime = 40 * time.Minute
)

// replacement is the replacement of one router or engine. index is its index.
type replacement struct {
	at     time.Duration
	router bool
	index  int
}

// replacements returns the scenario's replacements, evenly spaced over the
// measured time.
func (s Scenario) replacements(d Deployment) []replacement {
	count := d.Engines * s.EnginesPer100 / 100
	if s.ReplaceRouters {
		count = d.Routers
	}
	replacements := make([]replacement, count)
	for i := range replacements {
		at := warmUp + measuredTime*time.Duration(i+1)/time.Duration(count+1)
		replacements[i] = replacement{at: at, router: s.ReplaceRouters, index: i}
	}
	return replacements
}
