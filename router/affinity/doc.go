// Package affinity finds a chat again at the engine that served it last,
// without a hint of the caller.
//
// The home of an engine keeps a bounded Index of the chats that it admitted to
// the engine and of those that it refused. A chat that spilled to its second or
// third choice is found by asking the homes of its choices in order: each one
// that refused it before passes it on. The Index is a hint only; the loss of it
// costs time or reuse, never a cap.
package affinity
