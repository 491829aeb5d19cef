package contextcache

import "testing"

// TestLeastRecentlyUsedContextIsEvicted checks sizes, the order of eviction, and a context that is
// larger than the cache.
func TestLeastRecentlyUsedContextIsEvicted(t *testing.T) {
	c := New[string](100)
	c.Use("a", 40)
	c.Use("b", 40)
	c.Use("a", 50)
	c.Use("c", 40)
	for key, want := range map[string]int{"a": 50, "b": 0, "c": 40} {
		if got := c.Tokens(key); got != want || c.Holds(key) != (want > 0) {
			t.Errorf("%s has %d tokens (held: %t), want %d", key, got, c.Holds(key), want)
		}
	}
	c.Use("d", 200)
	if c.Holds("a") || c.Holds("c") || !c.Holds("d") {
		t.Error("a context that is larger than the cache does not evict all others")
	}
}
