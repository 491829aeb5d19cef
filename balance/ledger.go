package balance

import (
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/settings"
)

// retryFull is when a caller may come back to a full engine.
const retryFull = time.Second

// Ledger counts the work in progress at the engines that a router manages. It
// is safe for concurrent use.
type Ledger struct {
	limits settings.Limits

	mu      sync.Mutex
	engines map[string]*engineCount
}

type engineCount struct {
	requests int
	tokens   int
	byModel  map[string]ModelLoad
}

// NewLedger returns an empty Ledger.
func NewLedger(limits settings.Limits) *Ledger {
	return &Ledger{limits: limits, engines: map[string]*engineCount{}}
}

// Reserve holds room for request. An engine without work in progress admits
// any single request; above the floor, its load stays below the load multiple
// of the mean and below its caps. Errors carry code.EndpointFull.
func (l *Ledger) Reserve(request Request) (*Reservation, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := l.engine(request.Engine)
	if err := l.check(count, request); err != nil {
		return nil, err
	}
	count.add(request, 1)
	return &Reservation{ledger: l, request: request}, nil
}

func (l *Ledger) engine(address string) *engineCount {
	count, ok := l.engines[address]
	if !ok {
		count = &engineCount{byModel: map[string]ModelLoad{}}
		l.engines[address] = count
	}
	return count
}

func (l *Ledger) check(count *engineCount, request Request) error {
	if count.requests == 0 {
		return nil
	}
	if count.requests >= l.limits.EngineRequests {
		return code.New(code.EndpointFull, "the engine has %d requests in progress", count.requests).After(retryFull)
	}
	after := count.tokens + request.Tokens
	if after > l.limits.EngineTokens {
		return code.New(code.EndpointFull, "the engine has %d tokens in progress", count.tokens).After(retryFull)
	}
	if after <= l.limits.EngineFloorTokens {
		return nil
	}
	bound := l.limits.LoadMultiple * (request.MeanTokens + float64(request.Tokens))
	if float64(after) > bound {
		return code.New(code.EndpointFull, "%d tokens would be above %.0f", after, bound).After(retryFull)
	}
	return nil
}

func (l *Ledger) release(request Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := l.engines[request.Engine]
	count.add(request, -1)
	if count.requests == 0 {
		delete(l.engines, request.Engine)
	}
}

func (c *engineCount) add(request Request, sign int) {
	c.requests += sign
	c.tokens += sign * request.Tokens
	load := c.byModel[request.Model]
	load.Requests += sign
	load.Tokens += sign * request.Tokens
	c.byModel[request.Model] = load
}

// Load returns the requests and tokens in progress at the engine.
func (l *Ledger) Load(engine string) (requests, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	count, ok := l.engines[engine]
	if !ok {
		return 0, 0
	}
	return count.requests, count.tokens
}

// Sums returns the load in progress by model.
func (l *Ledger) Sums() map[string]ModelLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	sums := map[string]ModelLoad{}
	for _, count := range l.engines {
		for model, load := range count.byModel {
			sum := sums[model]
			sum.Requests += load.Requests
			sum.Tokens += load.Tokens
			sums[model] = sum
		}
	}
	return sums
}
