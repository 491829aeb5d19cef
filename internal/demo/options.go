// Package demo runs a complete example deployment in one process and checks that it
// answers all requests, also when an engine is lost, and executes no deposit twice.
package demo

// Options configure the demo.
type Options struct {
	// Deployment is the name of a folder under examples.
	Deployment string
	// Chats is the number of chats.
	Chats int
	// Rounds is the number of messages of each chat.
	Rounds int
	// Deposits is the number of deposits, each sent twice.
	Deposits int
}
