// Package once runs work that may not be repeated at most once.
//
// A ticket names the one router process that may execute the work. That
// process remembers each ticket until it expires; a process that starts anew
// has another incarnation and never executes tickets of an earlier one.
package once
