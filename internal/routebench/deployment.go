package routebench

import "time"

// Deployment is the size of a fleet and its load.
type Deployment struct {
	// Name is the deployment's name in tables.
	Name string
	// Routers is the number of routers.
	Routers int
	// Engines is the number of engines, all of one model.
	Engines int
	// Multiple caps an engine's load as a multiple of the mean.
	Multiple float64
}

// The deployments of today.
var (
	Gelek  = Deployment{Name: "gelek", Routers: 8, Engines: 20, Multiple: 1.25}
	Urverk = Deployment{Name: "urverk", Routers: 7, Engines: 10, Multiple: 1.5}
)

// The load of one engine.
const (
	// requestRate is the arrivals for each engine, in requests a second.
	requestRate = 1.08
	// tokenInterval is the time between two tokens of an answer.
	tokenInterval = 30 * time.Millisecond
	// cacheTokens is the size of an engine's prefix cache, in tokens.
	cacheTokens = 400_000
)
