package main

import (
	"context"
	"net/http"
	"time"

	"cardamompoint.example/cardamompoint/internal/jsonhttp"
)

// operatorTimeout bounds a call to the operators' interface of a router or gateway.
const operatorTimeout = 5 * time.Second

// getFromOperator decodes the JSON answer of the operators' interface at address. path begins
// with a slash and may have a query.
func getFromOperator(ctx context.Context, address, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	return jsonhttp.Get(ctx, http.DefaultClient, "http://"+address+path, out)
}
