package router

import "sync"

// Limits of the budget, in retries: what a new budget holds, and the most that can
// accumulate.
const (
	minRetryTokens = 10.0
	maxRetryTokens = 100.0
)

// retryBudget allows retries in proportion to first attempts, so that a failure of
// all endpoints does not multiply the load. It is safe for concurrent use.
type retryBudget struct {
	// ratio is the number of retries that each first attempt adds.
	ratio float64

	mu     sync.Mutex
	tokens float64
}

// newRetryBudget returns a budget with minRetryTokens retries.
func newRetryBudget(ratio float64) *retryBudget {
	return &retryBudget{ratio: ratio, tokens: minRetryTokens}
}

// recordRequest adds the share of a new request to the budget.
func (b *retryBudget) recordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, maxRetryTokens)
}

// takeRetry reports whether a retry is allowed, and deducts it from the budget.
func (b *retryBudget) takeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
