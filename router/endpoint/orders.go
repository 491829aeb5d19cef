package endpoint

import "context"

// LoadedModel is a model that an engine has loaded.
type LoadedModel struct {
	// Model names the model.
	Model string `json:"model"`
	// Version is the version of the weights.
	Version string `json:"version"`
	// Adapters are loaded beside the model, in the order of their names.
	Adapters []string `json:"adapters,omitempty"`
}

// Order states the whole set that an engine should have loaded, so that a
// repeated order is harmless.
type Order struct {
	// Fence is the fencing number. Some engines refuse an order with a lower
	// number than that of an earlier one; others ignore it.
	Fence int64 `json:"fence"`
	// Models are the models.
	Models []LoadedModel `json:"models"`
	// Role is the role; empty leaves the engine's own.
	Role string `json:"role,omitempty"`
}

// EngineState is what an engine has loaded or is loading.
type EngineState struct {
	// Fence is the fencing number of the newest order that was accepted.
	Fence int64 `json:"fence"`
	// Models are the models.
	Models []LoadedModel `json:"models"`
	// Role is the role.
	Role string `json:"role,omitempty"`
}

// Orderer gives engines orders. Implementations are safe for concurrent use.
type Orderer interface {
	// State returns what the engine has loaded.
	State(ctx context.Context, address string) (EngineState, error)
	// Order gives an order. An engine that checks fencing numbers answers an
	// old one with an OrderRejected error.
	Order(ctx context.Context, address string, order Order) error
}
