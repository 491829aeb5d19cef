package balance

import (
	"time"

	"cardamompoint.example/cardamompoint/code"
)

// checkAdmission returns nil if request can be admitted under allowance, and
// otherwise the reason as an error.
func (l *LoadTracker) checkAdmission(state *engineState, request Request, allowance Allowance, now time.Time) error {
	if state.reports.leaving {
		return code.New(code.EndpointLeaving, "the engine reports that it is leaving")
	}
	available, ok := state.headroom(allowance, l.maxAge, now)
	if !ok {
		return code.New(code.ViewStale, "no load report since the allowance began").After(allowanceRetryAfter)
	}
	full := newEngineLimits(l.limits, l.slowStartFraction(state, now))
	added := ModelLoad{Requests: 1, Tokens: request.Tokens}
	after := state.load.plus(added)
	idle := after.plus(available.foreign).Requests == 1
	if idle && allowance.Fraction == FractionWhole {
		return nil
	}
	if !available.fits(after, full) {
		return code.New(code.EndpointFull, "the engine has %d requests with %d tokens here and %d elsewhere",
			state.load.Requests, state.load.Tokens, available.foreign.Requests).After(l.retryAfter())
	}
	limits := full.scaled(available.allowance.Fraction)
	if err := l.checkShare(state, request, limits, available); err != nil {
		return err
	}
	return l.checkMeanBound(after.plus(available.foreign).Tokens, request)
}

// slowStartFraction returns the fraction of its caps that the engine may carry,
// from 0 to 1. If no engine answers, the fault is probably this router's own and
// no engine is limited.
func (l *LoadTracker) slowStartFraction(state *engineState, now time.Time) float64 {
	if !state.slowStart.down {
		return state.slowStart.capacityFraction(now)
	}
	for _, other := range l.engines {
		if other.hasReport() && !other.slowStart.down {
			return state.slowStart.capacityFraction(now)
		}
	}
	return 1
}

// checkShare reserves capacity for more urgent priority classes and for
// workspaces below their fair share.
func (l *LoadTracker) checkShare(state *engineState, request Request, limits engineLimits, available headroom) error {
	added := ModelLoad{Requests: 1, Tokens: request.Tokens}
	utilization := limits.utilization(state.load.plus(available.foreign).plus(added))
	if ceiling := classCeiling(request.Priority); utilization > ceiling && state.load.Requests > 0 {
		return code.New(code.EndpointFull, "the engine's utilization would be %.2f, %s work is admitted up to %.2f",
			utilization, request.Priority, ceiling).After(l.retryAfter())
	}
	if _, has := state.byWorkspace[request.Workspace]; utilization <= lendingCeiling || !has {
		return nil
	}
	after := l.workspaceLoad(request.Workspace, false).plus(added)
	share, fair := limits.utilization(after)/float64(l.reportingEngines()), l.shares.fairShare(request.Workspace)
	if share > fair && !l.withinTagReserve(request, limits, fair) {
		return code.New(code.WorkspaceShare, "the workspace would use %.2f of the engines, its fair share is %.2f",
			share, fair).After(l.retryAfter())
	}
	return nil
}

// checkMeanBound refuses a request that would raise the engine's load, in
// tokens, above the load multiple of the fleet's mean. Loads up to the floor are
// always allowed.
func (l *LoadTracker) checkMeanBound(tokens int, request Request) error {
	if tokens <= l.limits.EngineFloorTokens || request.EngineCount == 1 {
		return nil
	}
	bound := l.limits.LoadMultiple * request.MeanTokens
	if request.LastResort && meanLags(request, l.limits.LoadMultiple) {
		bound = max(bound, request.ProjectedMeanTokens+float64(request.Tokens))
	}
	if float64(tokens) > bound {
		return code.New(code.EndpointFull, "%d tokens would exceed the bound of %.0f tokens from the mean load", tokens, bound).After(defaultRetryAfter)
	}
	return nil
}

// meanLags reports whether the known mean lags behind a growing load. The bound
// of last-resort candidates then follows the projected mean.
func meanLags(request Request, loadMultiple float64) bool {
	return request.ProjectedMeanTokens > loadMultiple*request.MeanTokens
}

// covers reports whether one of allowances still covers what is reserved at the
// engine.
func (l *LoadTracker) covers(engine string, allowances []Allowance, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.engine(engine)
	full := newEngineLimits(l.limits, 1)
	for _, allowance := range allowances {
		available, ok := state.headroom(allowance, l.maxAge, now)
		if !ok {
			continue
		}
		idle := state.load.plus(available.foreign).Requests <= 1
		if available.fits(state.load, full) || (idle && allowance.Fraction == FractionWhole) {
			return true
		}
	}
	return false
}
