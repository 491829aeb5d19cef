package shed

// Reason is the criterion by which a request was refused. Its texts appear in errors and metrics.
type Reason int

const (
	// ReasonNone means that the request is not refused.
	ReasonNone Reason = iota
	// ReasonExcess means that others have precedence by their priority.
	ReasonExcess
	// ReasonShare means that the workspace uses more than its share.
	ReasonShare
	// ReasonLate means that the request can no longer meet its objective.
	ReasonLate
	// ReasonHopeless means that the answer can't come within the caller's time.
	ReasonHopeless
)

// String returns the name of the reason.
func (r Reason) String() string {
	return [...]string{"none", "excess", "share", "late", "hopeless"}[r]
}

// reasonOf returns why a request of a rank is refused. byRank reports whether an average request of
// the rank would be refused too.
func reasonOf(of rank, byRank bool) Reason {
	switch {
	case !byRank:
		return ReasonLate
	case of.level() > 0:
		return ReasonShare
	default:
		return ReasonExcess
	}
}
