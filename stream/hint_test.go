package stream

import (
	"testing"

	"pgregory.net/rapid"
)

// TestHintIsValidForOneChatOnly checks that a hint is accepted only for its own chat, with its
// own secret and unmodified.
func TestHintIsValidForOneChatOnly(t *testing.T) {
	secret := []byte("secret")
	name := rapid.StringMatching(`[a-c]{1,2}`)
	rapid.Check(t, func(t *rapid.T) {
		hint := Hint{Workspace: name.Draw(t, "workspace"), Chat: name.Draw(t, "chat"), Engine: "10.0.0.1:8000"}
		text := hint.Seal(secret)
		workspace, chat := name.Draw(t, "asked workspace"), name.Draw(t, "asked chat")
		want := ""
		if workspace == hint.Workspace && chat == hint.Chat {
			want = hint.Engine
		}
		if got := OpenHint(secret, text, workspace, chat); got != want {
			t.Fatalf("%+v opened as %q for %s %s", hint, got, workspace, chat)
		}
		if got := OpenHint([]byte("other"), text, hint.Workspace, hint.Chat); got != "" {
			t.Fatalf("a hint of another fleet was accepted: %q", got)
		}
		at := rapid.IntRange(0, len(text)-1).Draw(t, "changed byte")
		forged := []byte(text)
		forged[at] ^= 1 << rapid.IntRange(0, 6).Draw(t, "bit")
		if got := OpenHint(secret, string(forged), hint.Workspace, hint.Chat); got != "" && got != hint.Engine {
			t.Fatalf("a forged hint was accepted: %q", got)
		}
	})
}
