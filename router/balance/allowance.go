package balance

import (
	"time"

	"cardamompoint.example/cardamompoint/code"
)

// retryRight is when to come back if this router may not act for an engine yet.
const retryRight = 500 * time.Millisecond

// Right is what a router may use of an engine's caps at one moment.
type Allowance struct {
	// Fraction is the part of the caps.
	Fraction Fraction
	// Since is the earliest sample of the engine's load that shows all work
	// that others may have admitted before.
	ReportsSince time.Time
}

// rights returns the rights that standing, lease and grants give at now, the
// largest first. Errors carry code.NotHome.
func (a *Admission) rights(standing Assignment, now time.Time) ([]Allowance, error) {
	if standing.Role == RoleNone {
		return nil, code.New(code.NotHome, "router %s manages the engine", standing.Home).After(retryRight)
	}
	if standing.Since.IsZero() || now.Before(standing.Since) {
		return nil, code.New(code.NotHome, "another router may still act for the engine").After(retryRight)
	}
	if standing.Role == RoleHome {
		return a.homeRights(standing, now), nil
	}
	return a.backupRights(standing, now)
}

func (a *Admission) homeRights(standing Assignment, now time.Time) []Allowance {
	share := Allowance{Fraction: FractionHome, ReportsSince: standing.Since}
	if standing.SoleRouter {
		return []Allowance{{Fraction: FractionWhole, ReportsSince: standing.Since}}
	}
	since, held := a.lease.Held(now)
	if !held {
		return []Allowance{share}
	}
	return []Allowance{{Fraction: FractionWhole, ReportsSince: later(since, standing.Since)}, share}
}

func (a *Admission) backupRights(standing Assignment, now time.Time) ([]Allowance, error) {
	if at, ok := a.grants.Released(standing.Home); ok {
		return []Allowance{{Fraction: FractionBackup, ReportsSince: later(at, standing.Since)}}, nil
	}
	if !standing.HomeUnreachable {
		return nil, code.New(code.NotHome, "the home %s can be reached", standing.Home).After(retryRight)
	}
	end := a.grants.Expiry(standing.Home)
	if now.Before(end) {
		return nil, code.New(code.NotHome, "the lease of %s runs for %v", standing.Home, end.Sub(now)).After(retryRight)
	}
	return []Allowance{{Fraction: FractionBackup, ReportsSince: later(end, standing.Since)}}, nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
