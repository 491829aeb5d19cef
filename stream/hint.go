package stream

import "cardamompoint.example/cardamompoint/internal/seal"

// hintPurpose keeps other sealed texts from being accepted as hints.
const hintPurpose = "hint"

// Hint is where the context of a chat was last. Callers receive it sealed and may send it
// back with the next request. A hint that is invalid or belongs to another chat is
// ignored, and no hint overrides a capacity limit.
type Hint struct {
	// Workspace is the name of the chat's workspace.
	Workspace string `json:"w"`
	// Chat is the ID of the chat.
	Chat string `json:"c"`
	// Engine is the address of the engine that answered the chat last.
	Engine string `json:"e"`
}

// Seal returns the sealed text of h for callers.
func (h Hint) Seal(secret []byte) string {
	return seal.Seal(secret, hintPurpose, h)
}

// OpenHint returns the address of the engine in a sealed hint, or "" if text is not a
// valid hint for exactly this chat.
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
