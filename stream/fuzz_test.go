package stream

import "testing"

var fuzzSecret = []byte("0123456789abcdef")

// FuzzID checks that OpenID accepts only texts that Seal returns.
func FuzzID(f *testing.F) {
	for _, seed := range []string{ID{RequestID: "r", StreamID: "s", Workspace: "w", Engine: "e"}.Seal(fuzzSecret), "", ".", "e30.e30"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		id, err := OpenID(fuzzSecret, text)
		if err == nil && id.Seal(fuzzSecret) != text {
			t.Errorf("accepted %q, which Seal does not return", text)
		}
	})
}

// FuzzHint checks that OpenHint accepts only texts that Seal returns, and only for the
// hint's own chat.
func FuzzHint(f *testing.F) {
	for _, seed := range []string{Hint{Workspace: "w", Chat: "c", Engine: "e"}.Seal(fuzzSecret), "", ".", "e30.e30"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		engine := OpenHint(fuzzSecret, text, "w", "c")
		if engine != "" && (Hint{Workspace: "w", Chat: "c", Engine: engine}).Seal(fuzzSecret) != text {
			t.Errorf("accepted %q, which Seal does not return", text)
		}
		if OpenHint(fuzzSecret, text, "w", "other") != "" {
			t.Errorf("accepted %q for another chat", text)
		}
	})
}
