// Package peer carries messages between routers: HTTP with JSON, signed with
// the fleet's secret and counted in bytes.
package peer
