// Package emulator simulates callers and model engines in virtual time and compares
// policies for placing requests: the gateway's own, in which VMs exchange delayed
// reports, and baselines that have perfect information.
//
// Engines use continuous batching: each step generates one token for every request whose
// prompt is prefilled, and prefills a chunk of the prompt of one other. Prompt parts stay
// in an engine's cache until they are evicted. Nothing runs in parallel; the same seed
// gives the same result.
package emulator
