package balance

// room is the part of an engine that one right opens.
type room struct {
	// right is the right, with the fraction that the newest report allows.
	right Allowance
	// foreign is the load at the engine that this router did not admit.
	foreign ModelLoad
	// stale tells that the newest report is too old for the right's own fraction.
	stale bool
}

// holds reports whether the router's own load at the engine is within the
// room. A home counts others' load against its own fraction, so that its
// backup's fraction stays free; a backup counts it against the whole.
func (r room) holds(own ModelLoad, whole engineLimits) bool {
	total := own.plus(r.foreign)
	limits := whole.of(r.right.Fraction)
	if r.right.Fraction == FractionBackup && !r.stale {
		return limits.fits(own) && whole.fits(total)
	}
	return limits.fits(total)
}
