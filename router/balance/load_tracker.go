package balance

import (
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/settings"
	"cardamompoint.example/cardamompoint/router/template"
)

// The delays after which a caller may retry a full engine. defaultRetryAfter is
// also the initial estimate of the mean service time.
const (
	defaultRetryAfter = time.Second
	minRetryAfter     = 250 * time.Millisecond
	maxRetryAfter     = 10 * time.Second
)

const (
	// downAfterFailures is the number of consecutive failed load reports after
	// which an engine counts as down.
	downAfterFailures = 3
	// serviceTimeSmoothing is the weight of the newest request in the exponential
	// moving average of the service time.
	serviceTimeSmoothing = 0.1
)

// LoadTracker counts the work in progress at the engines that a router manages.
// It is safe for concurrent use.
type LoadTracker struct {
	limits settings.Limits
	// maxAge is the maximum age of a load report for decisions without a lease.
	maxAge time.Duration

	mu              sync.Mutex
	engines         map[string]*engineState
	shares          *shares
	trends          map[string]*trend
	meanServiceTime time.Duration
}

// NewLoadTracker returns an empty LoadTracker. A load report older than maxAge
// no longer shows what other routers have admitted.
func NewLoadTracker(limits settings.Limits, maxAge time.Duration) *LoadTracker {
	return &LoadTracker{
		limits:          limits,
		maxAge:          maxAge,
		engines:         map[string]*engineState{},
		shares:          newShares(),
		trends:          map[string]*trend{},
		meanServiceTime: defaultRetryAfter,
	}
}

// engine returns the state of the engine with the given address, which it adds
// if necessary.
func (l *LoadTracker) engine(address string) *engineState {
	state, ok := l.engines[address]
	if !ok {
		state = newEngineState()
		l.engines[address] = state
	}
	return state
}

// reserve reserves capacity for request under the first of allowances that
// admits it.
func (l *LoadTracker) reserve(request Request, allowances []Allowance, now time.Time) (*Reservation, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shares.recordRequest(request.Workspace, request.ShareWeight, now)
	state := l.engine(request.Engine)
	var first error
	for _, allowance := range allowances {
		err := l.checkAdmission(state, request, allowance, now)
		if err == nil {
			return l.addReservation(state, request, now), nil
		}
		if first == nil || code.Is(first, code.ViewStale) {
			first = err
		}
	}
	return nil, first
}

// Adopt counts work that another router admitted and that the engine runs
// already. It never refuses.
func (l *LoadTracker) Adopt(request Request, now time.Time) *Reservation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addReservation(l.engine(request.Engine), request, now)
}

// addReservation counts request and returns its reservation.
func (l *LoadTracker) addReservation(state *engineState, request Request, now time.Time) *Reservation {
	reservation := &Reservation{tracker: l, request: request, reservedAt: now, remainingTokens: request.Tokens}
	state.reservations[reservation] = struct{}{}
	l.add(state, request, ModelLoad{Requests: 1, Tokens: request.Tokens}, now)
	return reservation
}

// add adds change to the engine's load and to the trend of the request's model.
func (l *LoadTracker) add(state *engineState, request Request, change ModelLoad, now time.Time) {
	state.add(request, change)
	modelTrend, ok := l.trends[request.Model]
	if !ok {
		modelTrend = &trend{}
		l.trends[request.Model] = modelTrend
	}
	modelTrend.add(change.Tokens, now)
}

// workspaceLoad returns the workspace's load at all engines of this router, or
// only that of its tags. Shares are not compared per engine, because a single
// long request may use up a workspace's share of one engine.
func (l *LoadTracker) workspaceLoad(workspace string, tagsOnly bool) (sum ModelLoad) {
	for _, state := range l.engines {
		sum = sum.plus(state.workspaceLoad(workspace, tagsOnly))
	}
	return sum
}

// withinTagReserve reports whether request is a tag within the workspace's fair
// share of the capacity reserved for tags, which is at least one tag.
func (l *LoadTracker) withinTagReserve(request Request, limits engineLimits, fair float64) bool {
	if request.Priority != template.PriorityTag {
		return false
	}
	tags := l.workspaceLoad(request.Workspace, true)
	return tags.Requests == 0 || limits.utilization(tags)/float64(l.reportingEngines()) < fair*tagReserve
}

// retryAfter returns the delay after which capacity is likely to be free: the
// mean service time, within the bounds of the retry delay.
func (l *LoadTracker) retryAfter() time.Duration {
	return min(max(l.meanServiceTime, minRetryAfter), maxRetryAfter)
}

func (l *LoadTracker) tokenDelivered(r *Reservation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.engine(r.request.Engine)
	if _, ok := state.reservations[r]; !ok {
		return
	}
	if r.firstReport == 0 {
		r.firstReport = state.reports.lastSequence + 1
	}
	if r.remainingTokens > 1 {
		r.remainingTokens--
		l.add(state, r.request, ModelLoad{Tokens: -1}, time.Now())
	}
}

func (l *LoadTracker) release(r *Reservation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	state := l.engine(r.request.Engine)
	delete(state.reservations, r)
	l.add(state, r.request, ModelLoad{Requests: -1, Tokens: -r.remainingTokens}, now)
	l.meanServiceTime += time.Duration(serviceTimeSmoothing * float64(now.Sub(r.reservedAt)-l.meanServiceTime))
}

// hasWork reports whether work is in progress at an engine for which manages
// reports true.
func (l *LoadTracker) hasWork(manages func(engine string) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for engine, state := range l.engines {
		if state.load.Requests > 0 && manages(engine) {
			return true
		}
	}
	return false
}

// Prune removes the idle engines for which keep reports false.
func (l *LoadTracker) Prune(keep func(engine string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for engine, state := range l.engines {
		if state.load.Requests == 0 && !keep(engine) {
			delete(l.engines, engine)
		}
	}
}

// Load returns the requests and tokens in progress at the engine.
func (l *LoadTracker) Load(engine string) (requests, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, ok := l.engines[engine]
	if !ok {
		return 0, 0
	}
	return state.load.Requests, state.load.Tokens
}

// TokenGrowth returns by how many tokens the load that this router counts for
// the model has grown within growthWindow; 0 if it has shrunk.
func (l *LoadTracker) TokenGrowth(model string, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	modelTrend, ok := l.trends[model]
	if !ok {
		return 0
	}
	return modelTrend.growth(now)
}

// LoadByModel returns the load in progress at all engines of this router, by
// model.
func (l *LoadTracker) LoadByModel() map[string]ModelLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	sums := map[string]ModelLoad{}
	for _, state := range l.engines {
		for model, load := range state.byModel {
			sums[model] = sums[model].plus(load)
		}
	}
	return sums
}
