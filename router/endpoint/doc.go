// Package endpoint speaks to model engines and plain services.
//
// The interfaces say what cardamompoint asks of them; the clients are the
// adapters for HTTP with JSON.
package endpoint
