// Package once ensures that work that may not be repeated runs at most once.
//
// A ticket names the only router process that may execute the work. That
// process remembers each ticket until it expires. A restarted process has
// another incarnation and never executes tickets of an earlier one.
//
// A CallerKey, which the caller generates, names no process. A process that wants
// to execute the key's work must first get a clearance: a quorum of the key's
// group of routers records that the key is granted to this process.
// docs/design/at-most-once.md proves the rule and states its assumptions.
package once
