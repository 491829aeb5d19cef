package knowledge

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// maxReported bounds the violations of each kind that are printed for a series.
const maxReported = 3

// reports prints the first violations of a series.
type reports struct {
	t       *testing.T
	started time.Time
	mu      sync.Mutex
	// counts are the numbers of violations by format.
	counts map[string]int
}

func newReports(t *testing.T) *reports {
	return &reports{t: t, started: time.Now(), counts: map[string]int{}}
}

// add reports a violation.
func (r *reports) add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[format]++
	if r.counts[format] <= maxReported {
		r.t.Errorf("after %v: %s", time.Since(r.started), fmt.Sprintf(format, arguments...))
	}
}
