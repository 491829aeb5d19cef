// Package router is the daemon that runs on every entry VM.
//
// One router takes a caller's request, decides which endpoint serves it and
// relays the answer. Model work goes through the engine's home router, which
// counts the engine's load; a request never passes through three routers.
package router
