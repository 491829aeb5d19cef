// Package stand runs the cases of the review that are scripts. It starts gateways as separate
// processes, as deploy/system.toml does, and plays the platform, its store, the workers and the
// clients itself, on loopback addresses and the real clock.
//
// All of it stands in test files, as it uses names of the platform's protocol. review/build.sh builds the
// test binary, which plays the case that its first argument names; go test plays none.
package stand
