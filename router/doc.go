// Package router implements the daemon that runs on every entry VM.
//
// A router accepts a caller's request, selects the endpoint that serves it and
// relays the answer. Model work passes through the engine's home router, which
// admits work to the engine and tracks its load, so a request passes through at
// most two routers. Each home has a backup router that takes over when the home is
// lost; a lease between the two keeps them from using the engine's capacity twice.
package router
