// Package demo runs a whole example deployment in one process and checks the
// fleet's main job.
package demo

// Options are what the demo does.
type Options struct {
	// Deployment is the folder under examples.
	Deployment string
	// Chats is the number of chats.
	Chats int
	// Rounds is how often each chat is asked.
	Rounds int
	// Deposits is the number of deposits, each sent twice.
	Deposits int
}
