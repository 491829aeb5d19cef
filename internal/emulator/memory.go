package emulator

import (
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// memory is what an engine keeps, in tokens: prompt parts that were read, and what
// requests in progress use by themselves.
type memory struct {
	size  int
	used  int
	parts map[uint64]*keptPart
}

// keptPart is a part that was read. While it has users it can't give way.
type keptPart struct {
	tokens int
	usedAt clock.Boot
	users  int
}

func newMemory(size int) *memory {
	return &memory{size: size, parts: map[uint64]*keptPart{}}
}

// missing returns the tokens of the parts from the first one on that is not kept.
func (m *memory) missing(parts []traffic.Part) int {
	kept := m.kept(parts)
	tokens := 0
	for _, part := range parts[kept:] {
		tokens += part.Tokens
	}
	return tokens
}

// kept returns how many parts from the first one on are kept.
func (m *memory) kept(parts []traffic.Part) int {
	for i, part := range parts {
		if m.parts[part.ID] == nil {
			return i
		}
	}
	return len(parts)
}

// hold marks the kept parts of a prompt as used.
func (m *memory) hold(parts []traffic.Part, now clock.Boot) []uint64 {
	var held []uint64
	for _, part := range parts[:m.kept(parts)] {
		kept := m.parts[part.ID]
		kept.users++
		kept.usedAt = now
		held = append(held, part.ID)
	}
	return held
}

// release ends the use of parts.
func (m *memory) release(held []uint64) {
	for _, id := range held {
		m.parts[id].users--
	}
}

// keep notes that parts were read; their room was taken before. What another
// request read meanwhile needs no second room.
func (m *memory) keep(parts []traffic.Part, now clock.Boot) {
	for _, part := range parts {
		if m.parts[part.ID] != nil {
			m.used -= part.Tokens
			continue
		}
		m.parts[part.ID] = &keptPart{tokens: part.Tokens, usedAt: now}
	}
}

// take reserves room and lets unused parts give way, the least recently used first.
func (m *memory) take(tokens int) bool {
	for m.used+tokens > m.size {
		if !m.evict() {
			return false
		}
	}
	m.used += tokens
	return true
}

func (m *memory) give(tokens int) {
	m.used -= tokens
}

// evict drops the part that was not used for longest.
func (m *memory) evict() bool {
	var oldest uint64
	var found *keptPart
	for id, part := range m.parts {
		if part.users > 0 {
			continue
		}
		if found == nil || part.usedAt < found.usedAt || part.usedAt == found.usedAt && id < oldest {
			oldest, found = id, part
		}
	}
	if found == nil {
		return false
	}
	delete(m.parts, oldest)
	m.used -= found.tokens
	return true
}
