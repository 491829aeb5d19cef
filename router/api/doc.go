// Package api holds the messages between callers and routers. The reference
// is docs/API.md.
package api
