package routebench

import "time"

// Scenario is what happens to the fleet while it is measured.
type Scenario struct {
	// Name is the scenario's name in tables.
	Name string
	// EnginesPer100 is how many of 100 engines are replaced, one after the other.
	EnginesPer100 int
	// ReplaceRouters tells whether each router is replaced once, one after the
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
	// warmUp is the time before anything is counted.
	warmUp = 80 * time.Minute
	// measured is the time that is counted.
	measured = 40 * time.Minute
)

// change is one replacement.
type change struct {
	at     time.Duration
	router bool
	index  int
}

// changes returns the scenario's replacements, evenly over the measured time.
func (s Scenario) changes(d Deployment) []change {
	count := d.Engines * s.EnginesPer100 / 100
	if s.ReplaceRouters {
		count = d.Routers
	}
	changes := make([]change, count)
	for i := range changes {
		at := warmUp + measured*time.Duration(i+1)/time.Duration(count+1)
		changes[i] = change{at: at, router: s.ReplaceRouters, index: i}
	}
	return changes
}
