package routebench

import "time"

// end is the end of a request in progress.
type end struct {
	at        time.Duration
	request   *Request
	placement Placement
}

// ends is a heap of ends, the next one first.
type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push appends an end.
func (e *ends) Push(x any) { *e = append(*e, x.(end)) }

// Pop removes the last end.
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
