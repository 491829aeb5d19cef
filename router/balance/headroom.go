package balance

// headroom is the capacity of an engine that one allowance covers.
type headroom struct {
	// allowance is the allowance, with its fraction reduced if the newest load
	// report is too old.
	allowance Allowance
	// foreign is the load at the engine that this router did not admit.
	foreign ModelLoad
	// stale reports whether the newest load report is too old for the allowance's
	// original fraction.
	stale bool
}

// fits reports whether own, the router's own load at the engine, is within the
// headroom of an engine with the caps full. A home counts foreign load against
// its own fraction, so that its backup's fraction stays free; a backup counts it
// against the full caps.
func (h headroom) fits(own ModelLoad, full engineLimits) bool {
	total := own.plus(h.foreign)
	limits := full.scaled(h.allowance.Fraction)
	if h.allowance.Fraction == FractionBackup && !h.stale {
		return limits.fits(own) && full.fits(total)
	}
	return limits.fits(total)
}
