package standin

import "container/list"

// contextCache is an LRU cache of the contexts of chats, bounded by their number of tokens. It
// is not safe for concurrent use.
type contextCache struct {
	limit  int
	tokens int
	order  *list.List
	byChat map[string]*list.Element
}

type cachedChat struct {
	key    string
	tokens int
}

func newContextCache(limit int) *contextCache {
	return &contextCache{limit: limit, order: list.New(), byChat: map[string]*list.Element{}}
}

// use returns how many tokens of the prompt are cached, and stores the chat with its new size.
func (c *contextCache) use(workspace, chat string, size, prompt int) int {
	key := workspace + "\x00" + chat
	reused := 0
	if element, ok := c.byChat[key]; ok {
		reused = min(prompt, element.Value.(cachedChat).tokens)
		c.drop(element)
	}
	c.byChat[key] = c.order.PushFront(cachedChat{key, size})
	c.tokens += size
	for c.tokens > c.limit && c.order.Len() > 1 {
		c.drop(c.order.Back())
	}
	return reused
}

func (c *contextCache) drop(element *list.Element) {
	chat := c.order.Remove(element).(cachedChat)
	delete(c.byChat, chat.key)
	c.tokens -= chat.tokens
}
