package router

import "sync"

// The budget's bounds, in retries.
const (
	minRetryTokens = 10.0
	maxRetryTokens = 100.0
)

// retryBudget allows retries in proportion to first attempts, so that a
// failure everywhere does not multiply load. It is safe for concurrent use.
type retryBudget struct {
	ratio float64

	mu     sync.Mutex
	tokens float64
}

func newRetryBudget(ratio float64) *retryBudget {
	return &retryBudget{ratio: ratio, tokens: minRetryTokens}
}

// first counts a first attempt.
func (b *retryBudget) recordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, maxRetryTokens)
}

// take reports whether a retry is allowed and counts it.
func (b *retryBudget) takeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
