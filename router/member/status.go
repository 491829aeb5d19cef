package member

import "time"

// Health is what this router thinks of a peer.
type Health string

// The values of Health.
const (
	// HealthAlive means that nobody has found the peer silent for longer than
	// the suspect timeout.
	HealthAlive Health = "alive"
	// HealthUnreachable means that the peer has been silent for longer, or
	// that it was so often that it is held back. It is not treated as gone
	// before the published list drops it.
	HealthUnreachable Health = "unreachable"
	// HealthLeaving means that the peer said that it shuts down.
	HealthLeaving Health = "leaving"
)

// Status is what this router knows of a peer.
type Status struct {
	// Heartbeat is the newest one that came from the peer itself. Of a peer
	// that was never heard it holds the address alone.
	Heartbeat Heartbeat `json:"heartbeat"`
	// Heard is when it came; zero if never.
	HeardAt time.Time `json:"heard"`
	// Health is the peer's health.
	Health Health `json:"health"`
	// Suspected tells that the peer did not answer lately.
	Suspected bool `json:"suspected"`

	counter   int64
	leaving   bool
	suspected time.Time
	owed      bool
	// introduced is the peer's incarnation that has been told all of Self.
	introduced string
	// told is the own counter that the peer knows.
	told    int64
	damping damping
}

// knowsUs reports whether the peer's process was told all of Self.
func (s *Status) knowsUs() bool {
	return s.introduced != "" && s.introduced == s.Heartbeat.From.Incarnation
}
