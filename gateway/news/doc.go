// Package news exchanges short reports between VMs by datagrams: who is alive,
// how new each one's knowledge is, and how much work each has at which endpoint.
//
// Everything told is a hint: a report that is lost, late or repeated costs
// balance for a moment, never correctness.
package news
