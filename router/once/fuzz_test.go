package once

import (
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
)

func FuzzCallerKey(f *testing.F) {
	for _, seed := range []string{
		"0198a2f0-7c00-7000-8000-000000000001", "0198a2f0-7c00-4000-8000-000000000001", "", "{0198a2f0-7c00-7000-8000-000000000001}",
		"urn:uuid:0198a2f0-7c00-7000-8000-000000000001", "0198a2f07c0070008000000000000001", "0198A2F0-7C00-7000-8000-00000000000F", "a.b",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		key, err := ParseCallerKey("w", text)
		if err != nil {
			return
		}
		if !strings.EqualFold(key.ID, text) || uuid.MustParse(text).Version() != 7 {
			t.Errorf("%q is accepted as %q", text, key.ID)
		}
		again, err := ParseCallerKey("w", key.ID)
		if err != nil || again != key {
			t.Errorf("%q is read as %v and %v", text, key, again)
		}
		if key.IssuedMS < 0 || key.IssuedMS >= 1<<48 {
			t.Errorf("%q was issued at %d", text, key.IssuedMS)
		}
	})
}

func FuzzTicket(f *testing.F) {
	secret := []byte("0123456789abcdef")
	valid := NewTicket("127.0.0.1:7001", "i", "w", time.UnixMilli(1)).Seal(secret)
	for _, seed := range []string{valid, valid[1:], valid + "A", strings.ToLower(valid), "", ".", "e30.e30"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		ticket, err := OpenTicket(secret, text, "w")
		if err == nil && ticket.Seal(secret) != text {
			t.Errorf("%q is accepted but differs from the sealed text", text)
		}
		if _, err := OpenTicket(secret, text, "other"); err == nil {
			t.Errorf("%q opens another workspace", text)
		}
		if _, err := OpenTicket([]byte("another secret.."), text, "w"); err == nil {
			t.Errorf("%q opens with another secret", text)
		}
	})
}
