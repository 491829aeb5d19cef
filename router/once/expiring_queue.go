package once

// expiringQueue is a heap of entries, ordered by expiry with the earliest first.
// It implements heap.Interface.
type expiringQueue[V any] []*expiringEntry[V]

func (q expiringQueue[V]) Len() int { return len(q) }

func (q expiringQueue[V]) Less(i, j int) bool { return q[i].expiresAt.Before(q[j].expiresAt) }

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
