// Package quarantine finds prompt parts on which engines crash, and whole requests under which
// endpoints do, from the observations of all VMs, and decides which requests are refused because of
// them. It has no clock and no network. A request without a prompt has one part, its fingerprint.
//
// Each VM records which prompts were waiting for an answer at an engine that ended
// (Observation), and which parts were answered since. Reports carry both to the other VMs, so
// that all come to the same verdicts (Quarantine).
package quarantine
