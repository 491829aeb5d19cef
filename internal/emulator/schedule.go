package emulator

import (
	"container/heap"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// schedule runs events in the order of their times, and those of one time in the
// order in which they were added.
type schedule struct {
	now    clock.Boot
	serial int
	events eventHeap
}

// after lets do run when the time has passed.
func (s *schedule) after(wait time.Duration, do func()) {
	s.serial++
	heap.Push(&s.events, event{s.now.Add(max(0, wait)), s.serial, do})
}

// run runs events until none is left before end.
func (s *schedule) run(end clock.Boot) {
	for len(s.events) > 0 && s.events[0].at <= end {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.do()
	}
	s.now = end
}

type event struct {
	at     clock.Boot
	serial int
	do     func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].serial < h[j].serial
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an event; it is for container/heap.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop takes the last event; it is for container/heap.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}
