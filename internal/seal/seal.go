// Package seal creates opaque texts that only a holder of a secret can create: tickets,
// chat hints and stream IDs. They are authenticated, not encrypted; anyone can read them.
package seal

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// macBytes is the length of the truncated HMAC-SHA256.
	macBytes = 16
	// maxTextBytes bounds the texts that Open accepts.
	maxTextBytes = 4096
)

// Seal encodes payload as JSON and returns it as a sealed text. The text is valid only for
// the same purpose. Seal panics if payload can't be encoded.
func Seal(secret []byte, purpose string, payload any) string {
	raw, err := json.Marshal(payload)
	if err != nil {
		panic(err)
	}
	body := base64.RawURLEncoding.EncodeToString(raw)
	return body + "." + checksum(secret, purpose, body)
}

// Open verifies that text was sealed for purpose and decodes its payload into out.
func Open(secret []byte, purpose, text string, out any) error {
	if len(text) > maxTextBytes {
		return eris.New("sealed text is too long")
	}
	body, sum, found := strings.Cut(text, ".")
	if !found {
		return eris.New("sealed text has no checksum")
	}
	if !hmac.Equal([]byte(sum), []byte(checksum(secret, purpose, body))) {
		return eris.New("checksum mismatch")
	}
	raw, err := base64.RawURLEncoding.DecodeString(body)
	if err != nil {
		return eris.Wrap(err, "decode sealed text")
	}
	return eris.Wrap(json.Unmarshal(raw, out), "decode payload")
}

// checksum returns the encoded MAC of purpose and body. Open compares the texts, so a body
// has only one valid checksum.
func checksum(secret []byte, purpose, body string) string {
	sum := hmac.New(sha256.New, secret)
	sum.Write([]byte(purpose))
	sum.Write([]byte{0})
	sum.Write([]byte(body))
	return base64.RawURLEncoding.EncodeToString(sum.Sum(nil)[:macBytes])
}
