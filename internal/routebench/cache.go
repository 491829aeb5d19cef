package routebench

import "container/list"

// cache simulates an engine's prefix cache: it keeps the contexts of the most
// recently used chats, up to limit tokens.
type cache struct {
	limit  int
	tokens int
	order  *list.List
	byChat map[int]*list.Element
}

type cachedContext struct {
	chat   int
	tokens int
}

func newCache(limit int) *cache {
	return &cache{limit: limit, order: list.New(), byChat: map[int]*list.Element{}}
}

// holds reports whether the cache holds the chat's context.
func (c *cache) holds(chat int) bool {
	_, ok := c.byChat[chat]
	return ok
}

// use stores the chat's context with its new size and evicts the least recently
// used ones if necessary.
func (c *cache) use(chat, tokens int) {
	if element, ok := c.byChat[chat]; ok {
		c.drop(element)
	}
	c.byChat[chat] = c.order.PushFront(cachedContext{chat, tokens})
	c.tokens += tokens
	for c.tokens > c.limit && c.order.Len() > 1 {
		c.drop(c.order.Back())
	}
}

func (c *cache) drop(element *list.Element) {
	context := c.order.Remove(element).(cachedContext)
	delete(c.byChat, context.chat)
	c.tokens -= context.tokens
}
