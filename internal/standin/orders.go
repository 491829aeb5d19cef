package standin

import (
	"net/http"
	"slices"
	"sync"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
	"cardamompoint.example/cardamompoint/router/endpoint"
)

// Orders is the part of an Engine that accepts orders to load models. It is safe for concurrent
// use.
type Orders struct {
	checkFence bool

	mu       sync.Mutex
	state    endpoint.EngineState
	ordered  bool
	accepted int
	rejected int
	loads    int
}

// NewOrders returns an Orders that rejects outdated fencing tokens if checkFence is true.
func NewOrders(checkFence bool) *Orders {
	return &Orders{checkFence: checkFence}
}

// OrderCounts holds the counters of an Orders.
type OrderCounts struct {
	// Accepted is the number of executed orders.
	Accepted int `json:"accepted"`
	// Rejected is the number of orders rejected for an outdated fencing token.
	Rejected int `json:"rejected"`
	// Loads is the number of models loaded from the weight store.
	Loads int `json:"loads"`
}

// Counts returns the current counters.
func (o *Orders) Counts() OrderCounts {
	o.mu.Lock()
	defer o.mu.Unlock()
	return OrderCounts{Accepted: o.accepted, Rejected: o.rejected, Loads: o.loads}
}

// State returns the loaded models and the role of the engine.
func (o *Orders) State() endpoint.EngineState {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.state
	state.Models = slices.Clone(state.Models)
	return state
}

// Apply executes an order.
func (o *Orders) Apply(order endpoint.Order) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.checkFence && order.Fence < o.state.Fence {
		o.rejected++
		return code.New(code.OrderRejected, "%d is below the fencing token %d", order.Fence, o.state.Fence)
	}
	o.accepted++
	o.ordered = true
	for _, model := range order.Models {
		if !o.has(model.Model, model.Version) {
			o.loads++
		}
	}
	o.state.Fence = order.Fence
	o.state.Models = slices.Clone(order.Models)
	if order.Role != "" {
		o.state.Role = order.Role
	}
	return nil
}

func (o *Orders) has(model, version string) bool {
	return slices.ContainsFunc(o.state.Models, func(loaded endpoint.LoadedModel) bool {
		return loaded.Model == model && (version == "" || loaded.Version == version)
	})
}

// Serves reports whether the model is loaded. An engine that has never received an order serves
// every model.
func (o *Orders) Serves(model string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.ordered || o.has(model, "")
}

// RegisterHandlers registers the HTTP handlers for orders on mux.
func (o *Orders) RegisterHandlers(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/state", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, o.State())
	})
	mux.HandleFunc("POST /v1/orders", func(w http.ResponseWriter, r *http.Request) {
		var order endpoint.Order
		err := jsonhttp.Read(w, r, maxBodyBytes, &order)
		if err == nil {
			err = o.Apply(order)
		}
		if err != nil {
			jsonhttp.WriteError(w, err)
			return
		}
		jsonhttp.Write(w, struct{}{})
	})
	mux.HandleFunc("GET /test/orders", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, o.Counts())
	})
}
