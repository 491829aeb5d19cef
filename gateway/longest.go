package gateway

import (
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// longestMemory is for how long the longest time of a service counts.
const longestMemory = 30 * time.Second

// longestTimes holds the longest of recent times of each service, such as those of complete answers. It is
// safe for concurrent use.
type longestTimes struct {
	mu        sync.Mutex
	byService map[string]*longestSpan
}

// longestSpan holds the longest times of the current and of the previous span of longestMemory.
type longestSpan struct {
	began             clock.Boot
	current, previous time.Duration
}

func newLongestTimes() *longestTimes {
	return &longestTimes{byService: map[string]*longestSpan{}}
}

// record records a time of a service.
func (l *longestTimes) record(service string, took time.Duration, now clock.Boot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	span, ok := l.byService[service]
	if !ok {
		span = &longestSpan{began: now}
		l.byService[service] = span
	}
	span.advance(now)
	span.current = max(span.current, took)
}

// expected returns the longest time of the last longestMemory at least. It returns 0 if none is known.
func (l *longestTimes) expected(service string, now clock.Boot) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	span, ok := l.byService[service]
	if !ok {
		return 0
	}
	span.advance(now)
	return max(span.current, span.previous)
}

// advance begins a new span when the current one is over.
func (s *longestSpan) advance(now clock.Boot) {
	switch elapsed := now.Sub(s.began); {
	case elapsed < longestMemory:
		return
	case elapsed < 2*longestMemory:
		s.previous = s.current
	default:
		s.previous = 0
	}
	s.began, s.current = now, 0
}
