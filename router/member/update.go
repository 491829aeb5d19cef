package member

// Claim is the state of a router that an Update announces.
type Claim string

// The values of Claim.
const (
	// ClaimAlive comes from the router itself and refutes suspicions with a lower
	// counter.
	ClaimAlive Claim = "a"
	// ClaimSuspect means that the router answered neither a probe nor the indirect
	// probes.
	ClaimSuspect Claim = "s"
	// ClaimLeaving comes from the router itself, which is shutting down.
	ClaimLeaving Claim = "l"
)

// Update is a membership update about one router.
type Update struct {
	// Address is the router's address.
	Address string `json:"a"`
	// Counter is the router's suspicion counter at the time of the claim.
	Counter int64 `json:"c"`
	// Claim is the announced state.
	Claim Claim `json:"s"`
}

// supersedes reports whether u replaces other, an update about the same router: a
// higher counter wins, then the claim with the higher precedence.
func (u Update) supersedes(other Update) bool {
	if u.Counter != other.Counter {
		return u.Counter > other.Counter
	}
	return u.Claim.precedence() > other.Claim.precedence()
}

// precedence orders claims with the same counter.
func (c Claim) precedence() int {
	switch c {
	case ClaimSuspect:
		return 1
	case ClaimLeaving:
		return 2
	}
	return 0
}
