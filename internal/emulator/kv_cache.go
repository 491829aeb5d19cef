package emulator

import (
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// kvCache is the cache memory of an engine, measured in tokens. It holds prompt parts
// that were prefilled, and the space reserved by sequences in progress.
type kvCache struct {
	capacity   int
	usedTokens int
	parts      map[uint64]*cachedPart
}

// cachedPart is a cached prompt part. It can't be evicted while it has pins.
type cachedPart struct {
	tokens int
	usedAt clock.Boot
	pins   int
}

// newKVCache returns an empty cache of the given capacity in tokens.
func newKVCache(capacity int) *kvCache {
	return &kvCache{capacity: capacity, parts: map[uint64]*cachedPart{}}
}

// missingTokens returns the tokens of the parts from the first uncached one on.
func (c *kvCache) missingTokens(parts []traffic.Part) int {
	cached := c.prefixLength(parts)
	tokens := 0
	for _, part := range parts[cached:] {
		tokens += part.Tokens
	}
	return tokens
}

// prefixLength returns how many of the first parts are cached.
func (c *kvCache) prefixLength(parts []traffic.Part) int {
	for i, part := range parts {
		if c.parts[part.ID] == nil {
			return i
		}
	}
	return len(parts)
}

// pin pins the cached prefix of a prompt and returns the IDs of its parts.
func (c *kvCache) pin(parts []traffic.Part, now clock.Boot) []uint64 {
	var pinned []uint64
	for _, part := range parts[:c.prefixLength(parts)] {
		entry := c.parts[part.ID]
		entry.pins++
		entry.usedAt = now
		pinned = append(pinned, part.ID)
	}
	return pinned
}

// unpin releases parts that pin returned.
func (c *kvCache) unpin(pinned []uint64) {
	for _, id := range pinned {
		c.parts[id].pins--
	}
}

// insert caches parts for which space was reserved. The space of a part that another
// sequence has cached in the meantime is freed.
func (c *kvCache) insert(parts []traffic.Part, now clock.Boot) {
	for _, part := range parts {
		if c.parts[part.ID] != nil {
			c.usedTokens -= part.Tokens
			continue
		}
		c.parts[part.ID] = &cachedPart{tokens: part.Tokens, usedAt: now}
	}
}

// reserve reserves space and evicts unpinned parts for it, the least recently used first.
// It returns false if there is not enough space.
func (c *kvCache) reserve(tokens int) bool {
	for c.usedTokens+tokens > c.capacity {
		if !c.evict() {
			return false
		}
	}
	c.usedTokens += tokens
	return true
}

// free frees reserved space.
func (c *kvCache) free(tokens int) {
	c.usedTokens -= tokens
}

// evict evicts the least recently used part without pins. It returns false if there is
// none.
func (c *kvCache) evict() bool {
	var oldest uint64
	var found *cachedPart
	for id, part := range c.parts {
		if part.pins > 0 {
			continue
		}
		if found == nil || part.usedAt < found.usedAt || part.usedAt == found.usedAt && id < oldest {
			oldest, found = id, part
		}
	}
	if found == nil {
		return false
	}
	delete(c.parts, oldest)
	c.usedTokens -= found.tokens
	return true
}
