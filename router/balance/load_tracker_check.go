package balance

import (
	"time"

	"cardamompoint.example/cardamompoint/code"
)

// check returns why request is not admitted under right, or nil.
func (l *LoadTracker) check(count *engineCount, request Request, right Allowance, now time.Time) error {
	if count.reports.leaving {
		return code.New(code.EndpointLeaving, "the engine reports that it is leaving")
	}
	open, ok := count.room(right, l.maxAge, now)
	if !ok {
		return code.New(code.ViewStale, "no load report since the right began").After(retryRight)
	}
	whole := wholeLimits(l.limits, l.startPart(count, now))
	added := ModelLoad{Requests: 1, Tokens: request.Tokens}
	after := count.load.plus(added)
	idle := after.plus(open.foreign).Requests == 1
	if idle && right.Fraction == FractionWhole {
		return nil
	}
	if !open.holds(after, whole) {
		return code.New(code.EndpointFull, "the engine has %d requests with %d tokens here and %d elsewhere",
			count.load.Requests, count.load.Tokens, open.foreign.Requests).After(l.retryAfter())
	}
	limits := whole.of(open.right.Fraction)
	if err := l.checkShare(count, request, limits, open); err != nil {
		return err
	}
	return l.checkMean(after.plus(open.foreign).Tokens, request)
}

// startPart returns the part of its caps that the engine may carry. If no
// engine answers, the fault is probably this router's own, and none is limited.
func (l *LoadTracker) startPart(count *engineCount, now time.Time) float64 {
	if !count.start.down {
		return count.start.part(now)
	}
	for _, other := range l.engines {
		if other.reported() && !other.start.down {
			return count.start.part(now)
		}
	}
	return 1
}

// checkShare keeps room for more urgent classes and for workspaces that use
// less than their fair part.
func (l *LoadTracker) checkShare(count *engineCount, request Request, limits engineLimits, open room) error {
	added := ModelLoad{Requests: 1, Tokens: request.Tokens}
	used := limits.part(count.load.plus(open.foreign).plus(added))
	if ceiling := classCeiling(request.Priority); used > ceiling && count.load.Requests > 0 {
		return code.New(code.EndpointFull, "%.2f of the engine is used, %s work is admitted to %.2f",
			used, request.Priority, ceiling).After(l.retryAfter())
	}
	if _, has := count.byWorkspace[request.Workspace]; used <= lendingCeiling || !has {
		return nil
	}
	after := l.workspaceLoad(request.Workspace, false).plus(added)
	part, fair := limits.part(after)/float64(l.reporting()), l.shares.part(request.Workspace)
	if part > fair && !l.tagReserved(request, limits, fair) {
		return code.New(code.WorkspaceShare, "the workspace would use %.2f of the engines, its part is %.2f",
			part, fair).After(l.retryAfter())
	}
	return nil
}

func (l *LoadTracker) checkMean(tokens int, request Request) error {
	if tokens <= l.limits.EngineFloorTokens || request.EngineCount == 1 {
		return nil
	}
	bound := l.limits.LoadMultiple * request.MeanTokens
	if request.LastResort && growing(request, l.limits.LoadMultiple) {
		bound = max(bound, request.ProjectedMeanTokens+float64(request.Tokens))
	}
	if float64(tokens) > bound {
		return code.New(code.EndpointFull, "%d tokens exceed the mean bound %.0f", tokens, bound).After(retryFull)
	}
	return nil
}

// growing reports whether the mean is late behind a load that grows. The last
// candidates may then carry what the grown mean allows.
func growing(request Request, multiple float64) bool {
	return request.ProjectedMeanTokens > multiple*request.MeanTokens
}

// covered reports whether one of rights still covers what is reserved.
func (l *LoadTracker) covered(engine string, rights []Allowance, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := l.engine(engine)
	whole := wholeLimits(l.limits, 1)
	for _, right := range rights {
		open, ok := count.room(right, l.maxAge, now)
		if !ok {
			continue
		}
		idle := count.load.plus(open.foreign).Requests <= 1
		if open.holds(count.load, whole) || (idle && right.Fraction == FractionWhole) {
			return true
		}
	}
	return false
}
