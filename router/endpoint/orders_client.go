package endpoint

import (
	"context"
	"net/http"
	"time"

	"cardamompoint.example/cardamompoint/internal/jsonhttp"
)

// OrdersClient implements Orderer for engines that accept orders as JSON over
// HTTP. It is safe for concurrent use.
type OrdersClient struct {
	http    *http.Client
	timeout time.Duration
}

// NewOrdersClient returns an OrdersClient whose calls have the given timeout.
func NewOrdersClient(transport http.RoundTripper, timeout time.Duration) *OrdersClient {
	return &OrdersClient{http: &http.Client{Transport: transport}, timeout: timeout}
}

// State implements Orderer.
func (c *OrdersClient) State(ctx context.Context, address string) (EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var state EngineState
	err := jsonhttp.Get(ctx, c.http, "http://"+address+"/v1/state", &state)
	return state, err
}

// Order implements Orderer.
func (c *OrdersClient) Order(ctx context.Context, address string, order Order) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return jsonhttp.Post(ctx, c.http, "http://"+address+"/v1/orders", order, nil)
}
