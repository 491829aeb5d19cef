package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"net/http"

	"cardamompoint.example/cardamompoint/code"
)

// signatureHeader carries the keyed digest of method, path and body.
const signatureHeader = "X-Fleet-Signature"

func signature(secret []byte, method, path string, body []byte) string {
	sum := hmac.New(sha256.New, secret)
	sum.Write([]byte(method))
	sum.Write([]byte{0})
	sum.Write([]byte(path))
	sum.Write([]byte{0})
	sum.Write(body)
	return hex.EncodeToString(sum.Sum(nil))
}

// verify returns a PeerRejected error unless the request was signed with secret.
func verify(secret []byte, r *http.Request, body []byte) error {
	want := signature(secret, r.Method, r.URL.RequestURI(), body)
	if !hmac.Equal([]byte(want), []byte(r.Header.Get(signatureHeader))) {
		return code.New(code.PeerRejected, "the signature does not match")
	}
	return nil
}
