package routebench

// engine is one engine as it is, without lag.
type engine struct {
	address  string
	live     bool
	tokens   int
	requests int
	cache    *cache
	// reported is the load that the engine reported last, in tokens.
	reported int
}
