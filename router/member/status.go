package member

import "time"

// Health is this router's assessment of a peer.
type Health string

// The values of Health.
const (
	// HealthAlive means that no suspicion of the peer has expired.
	HealthAlive Health = "alive"
	// HealthUnreachable means that a suspicion of the peer has lasted for longer
	// than the suspect timeout, or that the peer is held down after repeated
	// returns. The peer stays a member until the published list drops it.
	HealthUnreachable Health = "unreachable"
	// HealthLeaving means that the peer announced its shutdown.
	HealthLeaving Health = "leaving"
)

// Status is the state of a peer as this router knows it.
type Status struct {
	// Heartbeat is the latest heartbeat from the peer itself. It holds only the
	// address if none has arrived yet.
	Heartbeat Heartbeat `json:"heartbeat"`
	// HeardAt is when that heartbeat arrived; zero if none has.
	HeardAt time.Time `json:"heard"`
	// Health is the peer's health.
	Health Health `json:"health"`
	// Suspected reports whether the peer is under suspicion.
	Suspected bool `json:"suspected"`

	// counter is the highest known suspicion counter of the peer.
	counter int64
	leaving bool
	// suspectedSince is when the current suspicion started; zero without one.
	suspectedSince time.Time
	// notifySuspicion reports whether the next heartbeat has to tell the peer that
	// it is suspected, so that it can refute that.
	notifySuspicion bool
	// ackedIncarnation is the incarnation of the peer's process that has
	// acknowledged this router's full Identity.
	ackedIncarnation string
	// ackedCounter is the highest counter of this router that the peer has
	// acknowledged.
	ackedCounter int64
	damping      flapDamping
}

// knowsIdentity reports whether the peer's current process has acknowledged this
// router's full Identity.
func (s *Status) knowsIdentity() bool {
	return s.ackedIncarnation != "" && s.ackedIncarnation == s.Heartbeat.From.Incarnation
}
