// Package choice picks the endpoint of a request: from the work in progress
// that this VM and the others have there, from where the parts of its prompt
// are held, and from how the endpoint answered lately.
//
// Nothing here reads a clock or a network; callers pass the time in.
package choice
