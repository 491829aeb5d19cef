package router

import (
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/code"
)

const (
	// maxCrashedEngines is the number of engines that may crash under one chat before it is
	// refused.
	maxCrashedEngines = 3
	// crashTerm is how long the crash of an engine counts against the chat.
	crashTerm = 10 * time.Minute
	// maxCrashedChats bounds the entries of each of the two maps of crashedChats.
	maxCrashedChats = 8192
)

// crashedChats remembers for a home which chats waited for their first token at engines that
// crashed. It keeps the last maxCrashedChats to 2*maxCrashedChats entries. It is safe for
// concurrent use.
type crashedChats struct {
	mu       sync.Mutex
	current  map[crashedChat]crashes
	previous map[crashedChat]crashes
}

// crashedChat identifies a chat at an engine. chat is the chat's key.
type crashedChat struct {
	engine string
	chat   uint64
}

// crashes counts the crashes of an engine under a chat.
type crashes struct {
	count  int
	lastAt time.Time
}

func newCrashedChats() *crashedChats {
	return &crashedChats{current: map[crashedChat]crashes{}}
}

// record records that an engine crashed while a chat waited for its first token.
func (c *crashedChats) record(key crashedChat, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := c.find(key, now)
	if len(c.current) >= maxCrashedChats {
		c.previous, c.current = c.current, map[crashedChat]crashes{}
	}
	c.current[key] = crashes{count: count + 1, lastAt: now}
}

// clear forgets the crashes of an engine under a chat that it has answered since.
func (c *crashedChats) clear(key crashedChat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.current, key)
	delete(c.previous, key)
}

// count returns how often an engine crashed under a chat.
func (c *crashedChats) count(key crashedChat, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.find(key, now)
}

// find implements count. The caller holds c.mu.
func (c *crashedChats) find(key crashedChat, now time.Time) int {
	found, ok := c.current[key]
	if !ok {
		found = c.previous[key]
	}
	if now.Sub(found.lastAt) > crashTerm {
		return 0
	}
	return found.count
}

// check refuses a chat under which the engine has crashed. As a last resort, the engine is
// tried again until it has crashed maxCrashedEngines times. Errors carry code.CrashingPrompt.
func (c *crashedChats) check(key crashedChat, lastResort bool, now time.Time) error {
	count := c.count(key, now)
	if count == 0 || lastResort && count < maxCrashedEngines {
		return nil
	}
	return crashingPrompt("the engine %s crashed under the chat %d times", key.engine, count)
}

// crashingPrompt returns the error for a chat under which engines crash.
func crashingPrompt(format string, args ...any) *code.Error {
	return code.New(code.CrashingPrompt, format, args...).After(crashTerm)
}

// crashedChat returns the key of the order's chat at its engine.
func (o workOrder) crashedChat() crashedChat {
	return crashedChat{engine: o.Engine, chat: chatKey(o.Work.Workspace, o.Work.Chat)}
}
