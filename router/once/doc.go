// Package once runs work that may not be repeated at most once.
//
// A ticket names the one router process that may execute the work. That
// process remembers each ticket until it expires; a process that starts anew
// has another incarnation and never executes tickets of an earlier one.
//
// A key of the caller's own names no process. The process that wants to run it
// first gets a clearance: a quorum of the key's group of routers records that
// the key is yielded to this process. docs/design/at-most-once.md proves the
// rule and states its assumptions.
package once
