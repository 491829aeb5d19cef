package stream

import "cardamompoint.example/cardamompoint/internal/seal"

const hintPurpose = "hint"

// Hint tells where a chat's context was last. A caller may echo it. A hint
// that is wrong or of another chat is ignored; it never overrides a cap.
type Hint struct {
	// Workspace is whose chat it is.
	Workspace string `json:"w"`
	// Chat is the chat.
	Chat string `json:"c"`
	// Engine is the address of the engine that answered last.
	Engine string `json:"e"`
}

// Seal returns the text of h for callers.
func (h Hint) Seal(secret []byte) string {
	return seal.Seal(secret, hintPurpose, h)
}

// OpenHint returns the engine that text names for the chat, or an empty string
// if the text is not a valid hint for just this chat.
func OpenHint(secret []byte, text, workspace, chat string) string {
	if text == "" {
		return ""
	}
	var hint Hint
	if err := seal.Open(secret, hintPurpose, text, &hint); err != nil {
		return ""
	}
	if hint.Workspace != workspace || hint.Chat != chat {
		return ""
	}
	return hint.Engine
}
