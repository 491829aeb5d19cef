package emulator

import (
	"container/heap"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// schedule runs events in virtual time. Events of the same time run in the order in which
// they were added.
type schedule struct {
	now    clock.Boot
	serial int
	events eventHeap
}

// after schedules do to run after the given time; a negative time means now.
func (s *schedule) after(wait time.Duration, do func()) {
	s.serial++
	heap.Push(&s.events, event{s.now.Add(max(0, wait)), s.serial, do})
}

// run runs all events up to end, including those that they add.
func (s *schedule) run(end clock.Boot) {
	for len(s.events) > 0 && s.events[0].at <= end {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.do()
	}
	s.now = end
}

// event is a scheduled call. serial orders events of the same time.
type event struct {
	at     clock.Boot
	serial int
	do     func()
}

// eventHeap is a heap of events, the next one first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].serial < h[j].serial
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}
