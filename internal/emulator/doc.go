// Package emulator plays requests of callers against model engines in virtual time
// and compares ways to place them: the gateway's own choice, with reports between
// VMs that are late, and baselines that know everything at once.
//
// Engines work in batches: each step gives one token to every request whose prompt is
// read, and reads a part of the prompt of one that waits. Prompt parts stay in an
// engine's memory until they have to give way. Nothing runs in parallel; the same
// seed gives the same result.
package emulator
