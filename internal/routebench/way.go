package routebench

// none stands for the lack of an engine.
const none = -1

// Way is a way to choose an engine.
type Way interface {
	// Name is the way's name in tables.
	Name() string
	// Start prepares the way for a fleet.
	Start(f *Fleet)
	// Place chooses the engine for a request and holds room there. hint is the
	// engine that served the chat last, or none.
	Place(r *Request, hint int) Placement
	// Release gives back the room that p holds.
	Release(r *Request, p Placement)
	// Exchange is called once a second. It returns the bytes that one router
	// sends and reads on average.
	Exchange() int
	// RouterReplaced tells that a router lost all it knew.
	RouterReplaced(router int)
	// EnginesChanged tells that the fleet's view is new.
	EnginesChanged()
}

// Placement is the outcome of a decision.
type Placement struct {
	// Engine is the engine that took the request, or none.
	Engine int
	// Asked counts the engines that were considered or asked.
	Asked int
	// HintFull tells that the engine that served the chat last was full.
	HintFull bool
	// Last tells that no engine had room below the multiple.
	Last bool

	home int
}
