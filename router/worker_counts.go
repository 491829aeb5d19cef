package router

import "sync"

// workerCounts counts the calls in progress from this router to each worker of
// a plain service. It is safe for concurrent use.
type workerCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func newWorkerCounts() *workerCounts {
	return &workerCounts{counts: map[string]int{}}
}

// acquire counts a call and reports whether the worker is below limit.
func (c *workerCounts) acquire(worker string, limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts[worker] >= limit {
		return false
	}
	c.counts[worker]++
	return true
}

// release ends a counted call.
func (c *workerCounts) release(worker string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[worker]--
	if c.counts[worker] == 0 {
		delete(c.counts, worker)
	}
}
