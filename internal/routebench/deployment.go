package routebench

import "time"

// Deployment is the size of a fleet and the bound of its load.
type Deployment struct {
	// Name is the deployment's name in tables.
	Name string
	// Routers is the number of routers.
	Routers int
	// Engines is the number of engines, all of one model.
	Engines int
	// LoadMultiple caps an engine's load as a multiple of the mean load.
	LoadMultiple float64
}

// The current deployments.
var (
	Gelek  = Deployment{Name: "gelek", Routers: 8, Engines: 20, LoadMultiple: 1.25}
	Urverk = Deployment{Name: "urverk", Routers: 7, Engines: 10, LoadMultiple: 1.5}
)

// The load and the cache of one engine.
const (
	// requestRate is the arrival rate per engine, in requests per second.
	requestRate = 1.08
	// tokenInterval is the time between two tokens of an answer.
	tokenInterval = 30 * time.Millisecond
	// cacheTokens is the size of an engine's prefix cache, in tokens.
	cacheTokens = 400_000
)
