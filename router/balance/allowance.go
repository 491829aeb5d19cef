package balance

import (
	"time"

	"cardamompoint.example/cardamompoint/code"
)

// allowanceRetryAfter is the delay after which a caller may retry a router that
// has no allowance for the engine yet.
const allowanceRetryAfter = 500 * time.Millisecond

// Allowance is the share of an engine's caps that a router may use at one
// moment.
type Allowance struct {
	// Fraction is the fraction of the caps.
	Fraction Fraction
	// ReportsSince is the earliest time of a load report that shows all work that
	// other routers may have admitted before the allowance began.
	ReportsSince time.Time
}

// allowances returns the allowances at now that follow from assignment, the
// router's lease and the leases that it granted, the largest first. Errors carry
// code.NotHome.
func (a *Admission) allowances(assignment Assignment, now time.Time) ([]Allowance, error) {
	if assignment.Role == RoleNone {
		return nil, code.New(code.NotHome, "router %s manages the engine", assignment.Home).After(allowanceRetryAfter)
	}
	if assignment.Since.IsZero() || now.Before(assignment.Since) {
		return nil, code.New(code.NotHome, "another router may still admit work for the engine").After(allowanceRetryAfter)
	}
	if assignment.Role == RoleHome {
		return a.homeAllowances(assignment, now), nil
	}
	return a.backupAllowances(assignment, now)
}

// homeAllowances returns the full caps if no other router can admit work, and
// otherwise the home's fraction, preceded by the full caps while the lease is
// held.
func (a *Admission) homeAllowances(assignment Assignment, now time.Time) []Allowance {
	share := Allowance{Fraction: FractionHome, ReportsSince: assignment.Since}
	if assignment.SoleRouter {
		return []Allowance{{Fraction: FractionWhole, ReportsSince: assignment.Since}}
	}
	since, held := a.lease.Held(now)
	if !held {
		return []Allowance{share}
	}
	return []Allowance{{Fraction: FractionWhole, ReportsSince: laterOf(since, assignment.Since)}, share}
}

// backupAllowances returns the backup's fraction once the home has released its
// lease, or is unreachable and its lease has expired.
func (a *Admission) backupAllowances(assignment Assignment, now time.Time) ([]Allowance, error) {
	if at, ok := a.grants.Released(assignment.Home); ok {
		return []Allowance{{Fraction: FractionBackup, ReportsSince: laterOf(at, assignment.Since)}}, nil
	}
	if !assignment.HomeUnreachable {
		return nil, code.New(code.NotHome, "the home %s is reachable", assignment.Home).After(allowanceRetryAfter)
	}
	end := a.grants.Expiry(assignment.Home)
	if now.Before(end) {
		return nil, code.New(code.NotHome, "the lease of %s is valid for another %v", assignment.Home, end.Sub(now)).After(allowanceRetryAfter)
	}
	return []Allowance{{Fraction: FractionBackup, ReportsSince: laterOf(end, assignment.Since)}}, nil
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
