// Package seal makes opaque texts that only a holder of the secret can make:
// tickets, chat hints and stream ids. They can be read by anyone and are
// checked, not encrypted.
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
	macBytes     = 16
	maxTextBytes = 4096
)

// Seal returns payload as a text for purpose. A text for one purpose is not
// valid for another one.
func Seal(secret []byte, purpose string, payload any) string {
	raw, err := json.Marshal(payload)
	if err != nil {
		panic(err)
	}
	body := base64.RawURLEncoding.EncodeToString(raw)
	return body + "." + checksum(secret, purpose, body)
}

// Open checks text for purpose and decodes its payload into out.
func Open(secret []byte, purpose, text string, out any) error {
	if len(text) > maxTextBytes {
		return eris.New("the text is too long")
	}
	body, sum, found := strings.Cut(text, ".")
	if !found {
		return eris.New("the text has no checksum")
	}
	if !hmac.Equal([]byte(sum), []byte(checksum(secret, purpose, body))) {
		return eris.New("the checksum does not match")
	}
	raw, err := base64.RawURLEncoding.DecodeString(body)
	if err != nil {
		return eris.Wrap(err, "the text can't be decoded")
	}
	return eris.Wrap(json.Unmarshal(raw, out), "the payload can't be decoded")
}

// checksum returns the only text that Open takes as the checksum of body.
func checksum(secret []byte, purpose, body string) string {
	sum := hmac.New(sha256.New, secret)
	sum.Write([]byte(purpose))
	sum.Write([]byte{0})
	sum.Write([]byte(body))
	return base64.RawURLEncoding.EncodeToString(sum.Sum(nil)[:macBytes])
}
