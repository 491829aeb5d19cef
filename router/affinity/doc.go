// Package affinity routes a returning chat to the engine that served it last,
// without a hint from the caller.
//
// The home of an engine keeps a bounded Index of the chats that it admitted to
// the engine and of those that it refused. A chat that spilled to its second or
// third candidate is found by asking the candidates' homes in order: each home
// that refused the chat before declines it, so that the next one is asked. The
// Index is only a hint: losing it costs time or cache reuse, but never violates
// an engine's caps.
package affinity
