package standin

import "container/list"

// contextCache is an engine's prefix cache: an LRU cache of the contexts of chats, bounded by
// their number of tokens. It is not safe for concurrent use.
type contextCache struct {
	maxTokens int
	tokens    int
	order     *list.List
	byChat    map[string]*list.Element
}

type cachedChat struct {
	key    string
	tokens int
}

func newContextCache(limit int) *contextCache {
	return &contextCache{maxTokens: limit, order: list.New(), byChat: map[string]*list.Element{}}
}

// use returns how many of the chat's promptTokens are cached, and stores the chat with its new
// size in tokens.
func (c *contextCache) use(workspace, chat string, size, promptTokens int) int {
	key := workspace + "\x00" + chat
	reused := 0
	if element, ok := c.byChat[key]; ok {
		reused = min(promptTokens, element.Value.(cachedChat).tokens)
		c.drop(element)
	}
	c.byChat[key] = c.order.PushFront(cachedChat{key, size})
	c.tokens += size
	for c.tokens > c.maxTokens && c.order.Len() > 1 {
		c.drop(c.order.Back())
	}
	return reused
}

func (c *contextCache) drop(element *list.Element) {
	chat := c.order.Remove(element).(cachedChat)
	delete(c.byChat, chat.key)
	c.tokens -= chat.tokens
}
