package member

// Claim is what an Update says of a router.
type Claim string

// The values of Claim.
const (
	// ClaimAlive comes from the router itself and refutes older suspicions.
	ClaimAlive Claim = "a"
	// ClaimSuspect means that a router and its helpers got no answer.
	ClaimSuspect Claim = "s"
	// ClaimLeaving comes from the router itself, which shuts down.
	ClaimLeaving Claim = "l"
)

// Update is news of one router.
type Update struct {
	// Address is the router's address.
	Address string `json:"a"`
	// Counter is the router's counter that the claim is about.
	Counter int64 `json:"c"`
	// Claim is what is said.
	Claim Claim `json:"s"`
}

// beats reports whether the update replaces other, which is of the same router.
func (u Update) beats(other Update) bool {
	if u.Counter != other.Counter {
		return u.Counter > other.Counter
	}
	return u.Claim.weight() > other.Claim.weight()
}

func (c Claim) weight() int {
	switch c {
	case ClaimSuspect:
		return 1
	case ClaimLeaving:
		return 2
	}
	return 0
}
