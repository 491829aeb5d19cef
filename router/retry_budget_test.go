package router

import "testing"

// TestRetryBudgetBoundsAStorm bounds the attempts of several routers whose requests
// all fail.
func TestRetryBudgetBoundsAStorm(t *testing.T) {
	const (
		routers = 8
		ratio   = 0.2
		firsts  = 5000
	)
	attempts := 0
	for range routers {
		budget := newRetryBudget(ratio)
		for range firsts {
			budget.recordRequest()
			attempts++
			for tries := 0; tries < maxFailedEngines && budget.takeRetry(); tries++ {
				attempts++
			}
		}
	}
	const bound = routers * (firsts*(1+ratio) + minRetryTokens)
	if float64(attempts) > bound {
		t.Errorf("%d attempts for %d first ones, the bound is %.0f", attempts, routers*firsts, bound)
	}
	if attempts < routers*firsts {
		t.Errorf("only %d attempts", attempts)
	}
}
