package routebench

import "cardamompoint.example/cardamompoint/internal/contextcache"

// engine is the actual state of one engine.
type engine struct {
	address  string
	live     bool
	tokens   int
	requests int
	cache    *contextcache.Cache[int]
	// reported is the last load that the engine reported, in tokens.
	reported int
}
