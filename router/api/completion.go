package api

import (
	"slices"
	"strings"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/template"
)

// RoleAssistant is the role of messages that a model wrote.
const RoleAssistant = "assistant"

// Message is one message of a chat.
type Message struct {
	// Role is system, user or assistant.
	Role string `json:"role"`
	// Content is the text.
	Content string `json:"content"`
}

// Completion is the body of POST /v1/chat/completions.
type CompletionRequest struct {
	// Workspace is whose request it is.
	Workspace string `json:"workspace"`
	// Chat identifies the chat within the workspace. Returning chats that use
	// the same value find their context again.
	Chat string `json:"chat"`
	// Messages are the whole chat so far.
	Messages []Message `json:"messages"`
	// Model asks for one of the template's models. Empty leaves the choice to
	// the template.
	Model string `json:"model,omitempty"`
	// Priority is tag, chat or long. Empty means the template's.
	Priority template.Priority `json:"priority,omitempty"`
	// Prefix are the tokens of the answer that the caller has already, in order.
	// The answer goes on after them.
	Prefix []string `json:"prefix,omitempty"`
	// MaxTokens bounds the answer. 0 means the template's bound.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Stream asks for server-sent events.
	Stream bool `json:"stream,omitempty"`
	// Hint is the hint of the chat's last answer.
	Hint string `json:"hint,omitempty"`
	// TimeoutMS bounds the request, in milliseconds. 0 means the template's.
	TimeoutMS int `json:"timeout_ms,omitempty"`
}

const maxNameBytes = 256

// Check returns the first fault as a BadRequest error, or nil.
func (c *CompletionRequest) Validate() error {
	if err := checkName("$.workspace", c.Workspace); err != nil {
		return err
	}
	if err := checkName("$.chat", c.Chat); err != nil {
		return err
	}
	if len(c.Messages) == 0 {
		return code.New(code.BadRequest, "there is no message").At("$.messages")
	}
	if c.Priority != "" && !c.Priority.Valid() {
		return code.New(code.BadRequest, "%q is not a priority", c.Priority).At("$.priority")
	}
	if slices.Contains(c.Prefix, "") {
		return code.New(code.BadRequest, "a token is empty").At("$.prefix")
	}
	if c.MaxTokens < 0 {
		return code.New(code.BadRequest, "%d is negative", c.MaxTokens).At("$.max_tokens")
	}
	if c.TimeoutMS < 0 {
		return code.New(code.BadRequest, "%d is negative", c.TimeoutMS).At("$.timeout_ms")
	}
	return nil
}

func checkName(path, name string) error {
	if name == "" {
		return code.New(code.BadRequest, "the name is missing").At(path)
	}
	if len(name) > maxNameBytes {
		return code.New(code.BadRequest, "the name has more than %d bytes", maxNameBytes).At(path)
	}
	return nil
}

// Returning reports whether the chat was answered before.
func (c *CompletionRequest) IsReturning() bool {
	return slices.ContainsFunc(c.Messages, func(m Message) bool { return m.Role == RoleAssistant })
}

// Prompt returns the messages as one text.
func (c *CompletionRequest) Prompt() string {
	var prompt strings.Builder
	for _, message := range c.Messages {
		prompt.WriteString(message.Role)
		prompt.WriteString(": ")
		prompt.WriteString(message.Content)
		prompt.WriteString("\n")
	}
	return prompt.String()
}
