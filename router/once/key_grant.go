package once

// keyGrant records the process to which a Granter granted a key, and whether
// that process has released it.
type keyGrant struct {
	holder   Holder
	released bool
}

// tryGrant grants the key to holder unless another process holds it or holder's
// attempt was abandoned.
func (g *keyGrant) tryGrant(holder Holder) ClearanceAnswer {
	if !g.holder.sameProcess(holder) && !g.released {
		other := g.holder
		return ClearanceAnswer{Holder: &other, Reason: "granted to another process"}
	}
	if g.holder.sameProcess(holder) && g.isAbandoned(holder.Attempt) {
		return refuse("the attempt was abandoned")
	}
	g.holder, g.released = holder, false
	return ClearanceAnswer{Granted: true}
}

// isAbandoned reports whether the holding process has abandoned the attempt.
func (g *keyGrant) isAbandoned(attempt int64) bool {
	return attempt < g.holder.Attempt || (attempt == g.holder.Attempt && g.released)
}

// release withdraws the grant to holder's attempt or to an earlier one.
func (g *keyGrant) release(holder Holder) {
	if !g.holder.sameProcess(holder) || g.holder.Attempt > holder.Attempt {
		return
	}
	g.holder = holder
	g.released = true
}
