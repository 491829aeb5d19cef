package demo

import (
	"sync"

	"cardamompoint.example/cardamompoint/internal/caller"
)

// answerCounts counts requested answers by their result. add is safe for concurrent use.
// The fields may be read only after all calls of add have returned.
type answerCounts struct {
	mu sync.Mutex

	requested, complete int
	// returning counts the complete answers to later messages of a chat, reused those of
	// them that reused context.
	returning, reused int
	// firstError is the first error, nil if there was none.
	firstError error
}

// add counts an answer or, if err is not nil, a failure. returning reports whether the
// chat had an earlier answer.
func (c *answerCounts) add(answer *caller.Answer, err error, returning bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requested++
	if err != nil {
		if c.firstError == nil {
			c.firstError = err
		}
		return
	}
	c.complete++
	if !returning {
		return
	}
	c.returning++
	if answer.Finished.Usage.ReusedTokens > 0 {
		c.reused++
	}
}
