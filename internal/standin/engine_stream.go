package standin

import (
	"sync"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/endpoint"
)

// engineStream is a response in progress of an Engine.
type engineStream struct {
	work         endpoint.Work
	tokens       []string
	promptTokens int
	reusedTokens int

	mu        sync.Mutex
	generated int
	canceled  bool
	changed   chan struct{}
}

func newEngineStream(work endpoint.Work, promptTokens, reusedTokens int) *engineStream {
	return &engineStream{
		work:         work,
		tokens:       Tokens(work.Workspace, work.Chat, work.Prompt, work.MaxTokens),
		promptTokens: promptTokens,
		reusedTokens: reusedTokens,
		generated:    len(work.Prefix),
		changed:      make(chan struct{}),
	}
}

// advance generates the next token and reports whether more tokens follow.
func (s *engineStream) advance() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.canceled || s.generated >= len(s.tokens) {
		return false
	}
	s.generated++
	close(s.changed)
	s.changed = make(chan struct{})
	return s.generated < len(s.tokens)
}

func (s *engineStream) cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.canceled {
		return
	}
	s.canceled = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// remaining returns the number of tokens that are still to be generated.
func (s *engineStream) remaining() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.canceled {
		return 0
	}
	return len(s.tokens) - s.generated
}

// line returns the line at offset and whether it is the last one. If the token is not generated
// yet, the line is empty and wait is closed at the next change.
func (s *engineStream) line(offset int) (line endpoint.Line, wait <-chan struct{}, done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line = endpoint.Line{RequestID: s.work.RequestID, StreamID: s.work.StreamID, Offset: offset}
	if offset < s.generated {
		line.Text = s.tokens[offset]
		return line, nil, false
	}
	if s.canceled {
		line.Error = code.New(code.Canceled, "the stream was canceled")
		return line, nil, true
	}
	if offset < len(s.tokens) {
		return line, s.changed, false
	}
	line.Final = &endpoint.Final{Tokens: len(s.tokens), PromptTokens: s.promptTokens, ReusedTokens: s.reusedTokens}
	return line, nil, true
}
