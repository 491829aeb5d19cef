// Package peer transports messages between routers: JSON over HTTP, signed with the
// fleet's secret, with the bytes of connections counted.
package peer
