package router

import "sync"

// workerCounts counts this router's calls in progress to each worker of the plain
// services. It is safe for concurrent use.
type workerCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func newWorkerCounts() *workerCounts {
	return &workerCounts{counts: map[string]int{}}
}

// acquire reports whether the worker has fewer than limit calls in progress, and if
// so counts one more.
func (c *workerCounts) acquire(worker string, limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts[worker] >= limit {
		return false
	}
	c.counts[worker]++
	return true
}

// release ends a call counted by acquire.
func (c *workerCounts) release(worker string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[worker]--
	if c.counts[worker] == 0 {
		delete(c.counts, worker)
	}
}
