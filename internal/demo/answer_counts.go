package demo

import (
	"sync"

	"cardamompoint.example/cardamompoint/internal/caller"
)

// answerCounts counts how answers ended. add is safe for concurrent use; the
// fields may be read when nobody adds any more.
type answerCounts struct {
	mu sync.Mutex

	asked, whole int
	// returned counts the whole answers of chats that came back, found those of
	// them that reused context.
	returned, found int
	// failure is the first error.
	failure error
}

func (c *answerCounts) add(answer *caller.Answer, err error, returning bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked++
	if err != nil {
		if c.failure == nil {
			c.failure = err
		}
		return
	}
	c.whole++
	if !returning {
		return
	}
	c.returned++
	if answer.Finished.Usage.ReusedTokens > 0 {
		c.found++
	}
}
