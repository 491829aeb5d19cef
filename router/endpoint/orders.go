package endpoint

import "context"

// LoadedModel is a model that an engine has loaded.
type LoadedModel struct {
	// Model names the model.
	Model string `json:"model"`
	// Version is the version of the weights.
	Version string `json:"version"`
	// Adapters are the adapters loaded with the model, sorted by name.
	Adapters []string `json:"adapters,omitempty"`
}

// Order is the complete set of models that an engine should have loaded. Since
// the set is complete, orders are idempotent.
type Order struct {
	// Fence is the fencing token. Some engines refuse an order with a lower token
	// than that of an earlier order; others ignore it.
	Fence int64 `json:"fence"`
	// Models are the models to load. Others are unloaded.
	Models []LoadedModel `json:"models"`
	// Role is the engine's role. Empty leaves the role unchanged.
	Role string `json:"role,omitempty"`
}

// EngineState describes the models that an engine has loaded or is loading.
type EngineState struct {
	// Fence is the fencing token of the last accepted order.
	Fence int64 `json:"fence"`
	// Models are the models that are loaded or being loaded.
	Models []LoadedModel `json:"models"`
	// Role is the engine's role.
	Role string `json:"role,omitempty"`
}

// Orderer sends orders to engines. Implementations are safe for concurrent use.
type Orderer interface {
	// State returns the engine's state.
	State(ctx context.Context, address string) (EngineState, error)
	// Order sends an order. An engine that checks fencing tokens answers an order
	// with an old token with an OrderRejected error.
	Order(ctx context.Context, address string, order Order) error
}
