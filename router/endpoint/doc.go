// Package endpoint communicates with model engines and plain services.
//
// The interfaces define what cardamompoint requires of them. The clients
// implement the interfaces with JSON over HTTP.
package endpoint
