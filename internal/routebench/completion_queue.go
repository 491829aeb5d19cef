package routebench

import "time"

// completion is the end of a request in progress.
type completion struct {
	at        time.Duration
	request   *Request
	placement Placement
}

// completionQueue is a heap of completions, ordered by time with the earliest
// first. It implements heap.Interface.
type completionQueue []completion

func (q completionQueue) Len() int           { return len(q) }
func (q completionQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q completionQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push appends a completion.
func (q *completionQueue) Push(x any) { *q = append(*q, x.(completion)) }

// Pop removes the last completion.
func (q *completionQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
