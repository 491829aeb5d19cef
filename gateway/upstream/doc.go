// Package upstream sends requests to endpoints over connections that it owns,
// and never sends a request twice by itself.
//
// A connection serves one request at a time. It is used again only when the
// whole answer was read, belonged to the request, and nothing was left behind.
package upstream
