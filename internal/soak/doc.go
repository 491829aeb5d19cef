// Package soak holds only tests. They run gateways as separate processes and inject random
// faults, drawn from a seed, from outside them. docs/SOAK.md describes the coverage.
//
// soak_test.go runs one seed: rounds of faults (faults_test.go), each followed by a calm
// phase, while callers send requests (callers_test.go) and readiness is polled
// (record_test.go). fleet_test.go manages the processes (gateway_vm_test.go), the emulated
// store and workers (worker_slot_test.go), and the proxies in front of them (proxy_test.go).
// One history records all that callers and workers saw and which faults affected which VM
// when (undisturbed_test.go). The checks are pure functions of the history (history_test.go,
// worker_signals_test.go, time_test.go, evacuation_test.go); history_red_test.go shows that each
// of them can fail.
package soak
