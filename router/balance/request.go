package balance

import "cardamompoint.example/cardamompoint/router/template"

// Request asks for room at an engine.
type Request struct {
	// Engine is the engine's address.
	Engine string
	// Model is the model that runs the work.
	Model string
	// Workspace is whose work it is.
	Workspace string
	// Share weighs the workspace against the others. 0 means 1.
	ShareWeight float64
	// Priority is the class.
	Priority template.Priority
	// Tokens is the number of tokens that the work is expected to take.
	Tokens int
	// MeanTokens is the mean load in progress of the model's engines over the
	// whole fleet, in tokens.
	MeanTokens float64
	// Engines is the number of engines that the mean is over. A single engine is
	// not bounded by the mean, which is its own load.
	EngineCount int
	// GrownTokens is the same mean, if the loads of the other routers have grown
	// as the own ones did since they were told.
	ProjectedMeanTokens float64
	// Last tells that no candidate has room below the load multiple. While the
	// mean is late behind a load that grows, an engine that carries no more than
	// the grown mean then admits the request.
	LastResort bool
}
