// Package clocktest lets package clock follow virtual time in tests.
package clocktest

import (
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// UseVirtualTime lets clock.Now follow time.Now until the test ends. It is to be called within a
// bubble of testing/synctest, in which time.Now is virtual. Such tests must not run in parallel
// with others that use package clock.
func UseVirtualTime(t testing.TB) {
	t.Helper()
	clock.SetSource(func() clock.Boot { return clock.Boot(time.Now().UnixNano()) })
	t.Cleanup(func() { clock.SetSource(nil) })
}
