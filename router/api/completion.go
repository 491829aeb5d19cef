package api

import (
	"slices"
	"strings"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/template"
)

// RoleAssistant is the role of messages that a model generated.
const RoleAssistant = "assistant"

// Message is one message of a chat.
type Message struct {
	// Role is system, user or assistant.
	Role string `json:"role"`
	// Content is the text of the message.
	Content string `json:"content"`
}

// CompletionRequest is the body of POST /v1/chat/completions.
type CompletionRequest struct {
	// Workspace is the workspace that the request belongs to.
	Workspace string `json:"workspace"`
	// Chat identifies the chat within the workspace. Requests of the same chat are
	// routed to the engine that holds the chat's context, if possible.
	Chat string `json:"chat"`
	// Messages are all messages of the chat so far.
	Messages []Message `json:"messages"`
	// Model selects one of the template's models. Empty leaves the choice to the
	// template.
	Model string `json:"model,omitempty"`
	// Priority is the priority class: tag, chat or long. Empty means the template's
	// class.
	Priority template.Priority `json:"priority,omitempty"`
	// Prefix holds the tokens of the answer that the caller already has, in order.
	// The answer continues after them.
	Prefix []string `json:"prefix,omitempty"`
	// MaxTokens is the maximum length of the answer, in tokens. 0 means the
	// template's limit.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Stream reports whether the answer is sent as server-sent events.
	Stream bool `json:"stream,omitempty"`
	// Hint is the hint of the chat's last answer.
	Hint string `json:"hint,omitempty"`
	// TimeoutMS is the timeout of the request, in milliseconds. 0 means the
	// template's timeout.
	TimeoutMS int `json:"timeout_ms,omitempty"`
}

const maxNameBytes = 256

// Validate returns a BadRequest error for the first invalid field, or nil.
func (c *CompletionRequest) Validate() error {
	if err := checkName("$.workspace", c.Workspace); err != nil {
		return err
	}
	if err := checkName("$.chat", c.Chat); err != nil {
		return err
	}
	if len(c.Messages) == 0 {
		return code.New(code.BadRequest, "the request has no messages").At("$.messages")
	}
	if c.Priority != "" && !c.Priority.Valid() {
		return code.New(code.BadRequest, "%q is not a priority class", c.Priority).At("$.priority")
	}
	if slices.Contains(c.Prefix, "") {
		return code.New(code.BadRequest, "the prefix contains an empty token").At("$.prefix")
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
		return code.New(code.BadRequest, "the name is longer than %d bytes", maxNameBytes).At(path)
	}
	return nil
}

// IsReturning reports whether the chat has an earlier answer.
func (c *CompletionRequest) IsReturning() bool {
	return slices.ContainsFunc(c.Messages, func(m Message) bool { return m.Role == RoleAssistant })
}

// Prompt returns the messages as one text, each with its role and on a line of
// its own.
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
