package contextcache

import "container/list"

// Cache is an LRU cache of the contexts of chats, bounded by their number of tokens. K identifies a
// chat. It is not safe for concurrent use.
type Cache[K comparable] struct {
	maxTokens int
	tokens    int
	// order has the entries, the most recently used one first.
	order *list.List
	byKey map[K]*list.Element
}

// entry is the cached context of a chat.
type entry[K comparable] struct {
	key    K
	tokens int
}

// New returns an empty Cache for maxTokens tokens.
func New[K comparable](maxTokens int) *Cache[K] {
	return &Cache[K]{maxTokens: maxTokens, order: list.New(), byKey: map[K]*list.Element{}}
}

// Tokens returns the size of the chat's context in tokens, 0 if it is not cached.
func (c *Cache[K]) Tokens(key K) int {
	element, ok := c.byKey[key]
	if !ok {
		return 0
	}
	return element.Value.(entry[K]).tokens
}

// Holds reports whether the chat's context is cached.
func (c *Cache[K]) Holds(key K) bool {
	_, ok := c.byKey[key]
	return ok
}

// Use stores the chat's context with its new size and evicts the least recently used ones if
// necessary. The newest one stays even if it is larger than the cache.
func (c *Cache[K]) Use(key K, tokens int) {
	if element, ok := c.byKey[key]; ok {
		c.drop(element)
	}
	c.byKey[key] = c.order.PushFront(entry[K]{key, tokens})
	c.tokens += tokens
	for c.tokens > c.maxTokens && c.order.Len() > 1 {
		c.drop(c.order.Back())
	}
}

func (c *Cache[K]) drop(element *list.Element) {
	dropped := c.order.Remove(element).(entry[K])
	delete(c.byKey, dropped.key)
	c.tokens -= dropped.tokens
}
