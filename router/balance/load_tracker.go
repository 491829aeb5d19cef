package balance

import (
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/settings"
	"cardamompoint.example/cardamompoint/router/template"
)

// When a caller may come back, if an engine is full.
const (
	retryFull  = time.Second
	retryLeast = 250 * time.Millisecond
	retryMost  = 10 * time.Second
)

const (
	// failuresDown is how many reports in a row fail before an engine is down.
	failuresDown = 3
	// serviceWeight is the weight of one request in the mean service time.
	serviceWeight = 0.1
)

// Ledger counts the work in progress at the engines that a router manages. It
// is safe for concurrent use.
type LoadTracker struct {
	limits settings.Limits
	// maxAge is how old a load report may be for decisions without a lease.
	maxAge time.Duration

	mu      sync.Mutex
	engines map[string]*engineCount
	shares  *shares
	trends  map[string]*trend
	service time.Duration
}

// NewLedger returns an empty Ledger. A load report older than maxAge no longer
// shows what others have admitted.
func NewLoadTracker(limits settings.Limits, maxAge time.Duration) *LoadTracker {
	return &LoadTracker{
		limits:  limits,
		maxAge:  maxAge,
		engines: map[string]*engineCount{},
		shares:  newShares(),
		trends:  map[string]*trend{},
		service: retryFull,
	}
}

func (l *LoadTracker) engine(address string) *engineCount {
	count, ok := l.engines[address]
	if !ok {
		count = newEngineCount()
		l.engines[address] = count
	}
	return count
}

// reserve holds room for request under the first of rights that has it.
func (l *LoadTracker) reserve(request Request, rights []Allowance, now time.Time) (*Reservation, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shares.saw(request.Workspace, request.ShareWeight, now)
	count := l.engine(request.Engine)
	var first error
	for _, right := range rights {
		err := l.check(count, request, right, now)
		if err == nil {
			return l.hold(count, request, now), nil
		}
		if first == nil || code.Is(first, code.ViewStale) {
			first = err
		}
	}
	return nil, first
}

// Adopt counts work that an engine runs already, since another router admitted
// it. It is not refused.
func (l *LoadTracker) Adopt(request Request, now time.Time) *Reservation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hold(l.engine(request.Engine), request, now)
}

func (l *LoadTracker) hold(count *engineCount, request Request, now time.Time) *Reservation {
	reservation := &Reservation{ledger: l, request: request, made: now, left: request.Tokens}
	count.reservations[reservation] = struct{}{}
	l.add(count, request, ModelLoad{Requests: 1, Tokens: request.Tokens}, now)
	return reservation
}

// add changes an engine's counts and the trend of the request's model.
func (l *LoadTracker) add(count *engineCount, request Request, change ModelLoad, now time.Time) {
	count.add(request, change)
	modelTrend, ok := l.trends[request.Model]
	if !ok {
		modelTrend = &trend{}
		l.trends[request.Model] = modelTrend
	}
	modelTrend.add(change.Tokens, now)
}

// workspaceLoad returns the workspace's load at all engines here, or that of
// its tags alone. Single engines say little, since one long request may take a
// workspace's part there.
func (l *LoadTracker) workspaceLoad(workspace string, tags bool) (sum ModelLoad) {
	for _, count := range l.engines {
		sum = sum.plus(count.of(workspace, tags))
	}
	return sum
}

// tagReserved reports whether request is a tag within the workspace's part of
// the room for tags, which is at least one tag.
func (l *LoadTracker) tagReserved(request Request, limits engineLimits, fair float64) bool {
	if request.Priority != template.PriorityTag {
		return false
	}
	tags := l.workspaceLoad(request.Workspace, true)
	return tags.Requests == 0 || limits.part(tags)/float64(l.reporting()) < fair*tagReserve
}

// retryAfter returns when room is likely: after one mean service time.
func (l *LoadTracker) retryAfter() time.Duration {
	return min(max(l.service, retryLeast), retryMost)
}

func (l *LoadTracker) tokenDelivered(r *Reservation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := l.engine(r.request.Engine)
	if _, ok := count.reservations[r]; !ok {
		return
	}
	if r.started == 0 {
		r.started = count.reports.asked + 1
	}
	if r.left > 1 {
		r.left--
		l.add(count, r.request, ModelLoad{Tokens: -1}, time.Now())
	}
}

func (l *LoadTracker) release(r *Reservation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	count := l.engine(r.request.Engine)
	delete(count.reservations, r)
	l.add(count, r.request, ModelLoad{Requests: -1, Tokens: -r.left}, now)
	l.service += time.Duration(serviceWeight * float64(now.Sub(r.made)-l.service))
}

// busy reports whether work is in progress at an engine that manages reports.
func (l *LoadTracker) busy(manages func(engine string) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for engine, count := range l.engines {
		if count.load.Requests > 0 && manages(engine) {
			return true
		}
	}
	return false
}

// Keep forgets idle engines for which keep reports false.
func (l *LoadTracker) Prune(keep func(engine string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for engine, count := range l.engines {
		if count.load.Requests == 0 && !keep(engine) {
			delete(l.engines, engine)
		}
	}
}

// Load returns the requests and tokens in progress at the engine.
func (l *LoadTracker) Load(engine string) (requests, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	count, ok := l.engines[engine]
	if !ok {
		return 0, 0
	}
	return count.load.Requests, count.load.Tokens
}

// Growth returns by how many tokens the model's load here has grown within
// growthLag, and 0 if it has shrunk.
func (l *LoadTracker) TokenGrowth(model string, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	modelTrend, ok := l.trends[model]
	if !ok {
		return 0
	}
	return modelTrend.growth(now)
}

// Sums returns the load in progress by model.
func (l *LoadTracker) LoadByModel() map[string]ModelLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	sums := map[string]ModelLoad{}
	for _, count := range l.engines {
		for model, load := range count.byModel {
			sums[model] = sums[model].plus(load)
		}
	}
	return sums
}
