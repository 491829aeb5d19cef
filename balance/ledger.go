package balance

import (
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/endpoint"
	"cardamompoint.example/cardamompoint/settings"
	"cardamompoint.example/cardamompoint/template"
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
type Ledger struct {
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
func NewLedger(limits settings.Limits, maxAge time.Duration) *Ledger {
	return &Ledger{
		limits:  limits,
		maxAge:  maxAge,
		engines: map[string]*engineCount{},
		shares:  newShares(),
		trends:  map[string]*trend{},
		service: retryFull,
	}
}

func (l *Ledger) engine(address string) *engineCount {
	count, ok := l.engines[address]
	if !ok {
		count = newEngineCount()
		l.engines[address] = count
	}
	return count
}

// reserve holds room for request under the first of rights that has it.
func (l *Ledger) reserve(request Request, rights []Right, now time.Time) (*Reservation, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shares.saw(request.Workspace, request.Share, now)
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
func (l *Ledger) Adopt(request Request, now time.Time) *Reservation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hold(l.engine(request.Engine), request, now)
}

func (l *Ledger) hold(count *engineCount, request Request, now time.Time) *Reservation {
	reservation := &Reservation{ledger: l, request: request, made: now, left: request.Tokens}
	count.reservations[reservation] = struct{}{}
	l.add(count, request, ModelLoad{Requests: 1, Tokens: request.Tokens}, now)
	return reservation
}

// add changes an engine's counts and the trend of the request's model.
func (l *Ledger) add(count *engineCount, request Request, change ModelLoad, now time.Time) {
	count.add(request, change)
	modelTrend, ok := l.trends[request.Model]
	if !ok {
		modelTrend = &trend{}
		l.trends[request.Model] = modelTrend
	}
	modelTrend.add(change.Tokens, now)
}

// check returns why request is not admitted under right, or nil.
func (l *Ledger) check(count *engineCount, request Request, right Right, now time.Time) error {
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
func (l *Ledger) startPart(count *engineCount, now time.Time) float64 {
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

// reporting returns the number of engines whose load reports are read.
func (l *Ledger) reporting() int {
	number := 0
	for _, count := range l.engines {
		if count.reported() {
			number++
		}
	}
	return max(1, number)
}

// checkShare keeps room for more urgent classes and for workspaces that use
// less than their fair part.
func (l *Ledger) checkShare(count *engineCount, request Request, limits engineLimits, open room) error {
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

// workspaceLoad returns the workspace's load at all engines here, or that of
// its tags alone. Single engines say little, since one long request may take a
// workspace's part there.
func (l *Ledger) workspaceLoad(workspace string, tags bool) (sum ModelLoad) {
	for _, count := range l.engines {
		sum = sum.plus(count.of(workspace, tags))
	}
	return sum
}

// tagReserved reports whether request is a tag within the workspace's part of
// the room for tags, which is at least one tag.
func (l *Ledger) tagReserved(request Request, limits engineLimits, fair float64) bool {
	if request.Priority != template.PriorityTag {
		return false
	}
	tags := l.workspaceLoad(request.Workspace, true)
	return tags.Requests == 0 || limits.part(tags)/float64(l.reporting()) < fair*tagReserve
}

func (l *Ledger) checkMean(tokens int, request Request) error {
	if tokens <= l.limits.EngineFloorTokens || request.Engines == 1 {
		return nil
	}
	bound := l.limits.LoadMultiple * request.MeanTokens
	if request.Last && growing(request, l.limits.LoadMultiple) {
		bound = max(bound, request.GrownTokens+float64(request.Tokens))
	}
	if float64(tokens) > bound {
		return code.New(code.EndpointFull, "%d tokens exceed the mean bound %.0f", tokens, bound).After(retryFull)
	}
	return nil
}

// growing reports whether the mean is late behind a load that grows. The last
// candidates may then carry what the grown mean allows.
func growing(request Request, multiple float64) bool {
	return request.GrownTokens > multiple*request.MeanTokens
}

// retryAfter returns when room is likely: after one mean service time.
func (l *Ledger) retryAfter() time.Duration {
	return min(max(l.service, retryLeast), retryMost)
}

// covered reports whether one of rights still covers what is reserved.
func (l *Ledger) covered(engine string, rights []Right, now time.Time) bool {
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

func (l *Ledger) tokenDelivered(r *Reservation) {
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

func (l *Ledger) release(r *Reservation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	count := l.engine(r.request.Engine)
	delete(count.reservations, r)
	l.add(count, r.request, ModelLoad{Requests: -1, Tokens: -r.left}, now)
	l.service += time.Duration(serviceWeight * float64(now.Sub(r.made)-l.service))
}

// busy reports whether work is in progress at an engine that manages reports.
func (l *Ledger) busy(manages func(engine string) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for engine, count := range l.engines {
		if count.load.Requests > 0 && manages(engine) {
			return true
		}
	}
	return false
}

// AskReport notes that a load report of the engine is asked for. Its number
// goes to Report.
func (l *Ledger) AskReport(engine string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := l.engine(engine)
	count.reports.asked++
	return count.reports.asked
}

// Report takes in the engine's report with the given number, which was asked
// for at sampled and came at now.
func (l *Ledger) Report(engine string, number uint64, load endpoint.Load, sampled, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := l.engine(engine)
	count.reports.take(load, count.shown(number), sampled)
	count.start.answer(now)
}

// ReportFailed counts a report that did not come. It reports whether the engine
// is down by that.
func (l *Ledger) ReportFailed(engine string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := l.engine(engine)
	count.reports.failures++
	if count.reports.failures == failuresDown {
		count.start.fail()
	}
	return count.reports.failures >= failuresDown
}

// Silent reports whether so many reports failed that the engine is down.
func (l *Ledger) Silent(engine string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engine(engine).reports.failures >= failuresDown
}

// Appeared starts the slow start of an engine that is new in the list of VMs.
func (l *Ledger) Appeared(engine string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.engine(engine).start.appeared(now)
}

// Keep forgets idle engines for which keep reports false.
func (l *Ledger) Keep(keep func(engine string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for engine, count := range l.engines {
		if count.load.Requests == 0 && !keep(engine) {
			delete(l.engines, engine)
		}
	}
}

// Load returns the requests and tokens in progress at the engine.
func (l *Ledger) Load(engine string) (requests, tokens int) {
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
func (l *Ledger) Growth(model string, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	modelTrend, ok := l.trends[model]
	if !ok {
		return 0
	}
	return modelTrend.growth(now)
}

// Sums returns the load in progress by model.
func (l *Ledger) Sums() map[string]ModelLoad {
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
