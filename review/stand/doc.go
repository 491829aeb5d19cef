// Command stand runs the cases of the review that are scripts. It starts gateways as separate
// processes, as deploy/system.toml does, and plays the platform, its store, the workers and the
// clients itself, on loopback addresses and the real clock.
package main
