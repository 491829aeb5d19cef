// Package api defines the messages between callers and routers. docs/API.md is
// the reference.
package api
