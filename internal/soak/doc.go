// Package soak runs gateways as processes of their own and injects faults from outside
// them, drawn from a seed; it holds tests only. docs/SOAK.md tells what it covers.
//
// soak_test.go plays one seed: rounds of faults (faults_test.go), each with a calm time
// behind it, while callers ask (callers_test.go) and readiness is looked at
// (spells_test.go). fleet_test.go owns the processes, the stand-ins of the store and the
// workers, and the proxies before them (proxy_test.go). All that callers and workers saw,
// and which VM was harmed when (touch_test.go), goes into one history; the checks are pure
// functions over it (history_test.go, words_test.go, time_test.go), and history_red_test.go
// shows that each can fail.
package soak
