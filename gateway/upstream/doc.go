// Package upstream sends requests to endpoints over connections that it manages itself, and
// never resends a request on its own.
//
// A connection serves one request at a time. It is reused only if the complete response was
// read, belonged to the request, and no bytes were left.
package upstream
