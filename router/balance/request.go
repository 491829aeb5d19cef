package balance

import "cardamompoint.example/cardamompoint/router/template"

// Request describes work for which capacity at an engine is requested.
type Request struct {
	// Engine is the engine's address.
	Engine string
	// Model is the model that runs the work.
	Model string
	// Workspace is the workspace that the work belongs to.
	Workspace string
	// ShareWeight is the weight of the workspace's fair share relative to the
	// other workspaces. 0 means 1.
	ShareWeight float64
	// Priority is the priority class.
	Priority template.Priority
	// Tokens is the number of tokens that the work is expected to take.
	Tokens int
	// MeanTokens is the mean load in progress at the model's engines in the whole
	// fleet, in tokens.
	MeanTokens float64
	// EngineCount is the number of engines in the mean. A single engine is not
	// bounded by the mean, since the mean is its own load.
	EngineCount int
	// ProjectedMeanTokens is MeanTokens if the loads of the other routers have
	// grown since their last report as much as this router's own load.
	ProjectedMeanTokens float64
	// LastResort reports whether no candidate has capacity below the load
	// multiple. While the mean lags behind a growing load, an engine whose load is
	// at most the projected mean then admits the request.
	LastResort bool
}
