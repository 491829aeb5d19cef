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

func (e completionQueue) Len() int           { return len(e) }
func (e completionQueue) Less(i, j int) bool { return e[i].at < e[j].at }
func (e completionQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push appends a completion.
func (e *completionQueue) Push(x any) { *e = append(*e, x.(completion)) }

// Pop removes the last completion.
func (e *completionQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
