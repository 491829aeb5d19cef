package once

// expiringQueue is a heap of entries with the next one to expire first. It
// implements heap.Interface.
type expiringQueue[V any] []*expiringEntry[V]

func (q expiringQueue[V]) Len() int { return len(q) }

func (q expiringQueue[V]) Less(i, j int) bool { return q[i].expires.Before(q[j].expires) }

func (q expiringQueue[V]) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *expiringQueue[V]) Push(x any) {
	entry := x.(*expiringEntry[V])
	entry.index = len(*q)
	*q = append(*q, entry)
}

func (q *expiringQueue[V]) Pop() any {
	last := len(*q) - 1
	entry := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return entry
}
