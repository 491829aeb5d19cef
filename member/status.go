package member

import "time"

// Health is what this router thinks of a peer.
type Health string

// The values of Health.
const (
	// HealthAlive means that the peer was heard from within the suspect timeout.
	HealthAlive Health = "alive"
	// HealthUnreachable means that the peer has been silent for longer. It is
	// not treated as gone before the published list drops it.
	HealthUnreachable Health = "unreachable"
	// HealthLeaving means that the peer said that it shuts down.
	HealthLeaving Health = "leaving"
)

// Status is what this router knows of a peer.
type Status struct {
	// Heartbeat is the newest one.
	Heartbeat Heartbeat `json:"heartbeat"`
	// Heard is when it came.
	Heard time.Time `json:"heard"`
	// Health is the peer's health.
	Health Health `json:"health"`
}
