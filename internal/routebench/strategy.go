package routebench

// noEngine is the index that stands for no engine.
const noEngine = -1

// Strategy chooses the engine of each request. Engines and routers are identified
// by their indexes in the Fleet.
type Strategy interface {
	// Name returns the strategy's name in tables.
	Name() string
	// Start prepares the strategy for a fleet.
	Start(f *Fleet)
	// Place chooses the engine for a request and reserves capacity there. hint is
	// the engine that served the chat last, or noEngine.
	Place(r *Request, hint int) Placement
	// Release releases the capacity that p holds.
	Release(r *Request, p Placement)
	// Exchange is called once a second. It returns the bytes that one router
	// sends and reads on average.
	Exchange() int
	// RouterReplaced is called when a router was replaced and lost its state.
	RouterReplaced(router int)
	// EnginesChanged is called when the engines in the fleet's view have changed.
	EnginesChanged()
}

// Placement is the result of a decision.
type Placement struct {
	// Engine is the engine that admitted the request, or noEngine.
	Engine int
	// Asked counts the engines that were asked.
	Asked int
	// HintFull reports whether the engine that served the chat last was full.
	HintFull bool
	// LastResort reports whether no engine had capacity below the load multiple.
	LastResort bool

	// counter is the router that counts the request, with EntryStrategy.
	counter int
}
