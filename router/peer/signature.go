package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cardamompoint.example/cardamompoint/code"
)

// signatureHeader contains the time, the nonce and the keyed digest of a message,
// separated by dots. Its name is short, since each control message has two of them.
const signatureHeader = "Sig"

const (
	// nonceSize and digestSize are in bytes.
	nonceSize  = 9
	digestSize = 16
)

// The labels are the first signed field. They distinguish requests from answers, so
// that neither can be passed off as the other.
const (
	requestLabel = "request"
	answerLabel  = "answer"
)

// signature is the content of the signature header.
type signature struct {
	// sentAtMillis is the sender's wall clock, in milliseconds since the Unix
	// epoch.
	sentAtMillis int64
	// nonce is random and new with each request. An answer repeats the nonce of its
	// request.
	nonce string
	// digest is the keyed digest of the message.
	digest string
}

// String returns the value of the signature header.
func (s signature) String() string {
	return strconv.FormatInt(s.sentAtMillis, 36) + "." + s.nonce + "." + s.digest
}

// parseSignature parses the value of a signature header. It does not verify the
// digest.
func parseSignature(header string) (signature, error) {
	parts := strings.Split(header, ".")
	if len(parts) != 3 {
		return signature{}, code.New(code.PeerRejected, "the signature is missing or malformed")
	}
	millis, err := strconv.ParseInt(parts[0], 36, 64)
	if err != nil {
		return signature{}, code.New(code.PeerRejected, "the signature's time is malformed")
	}
	return signature{sentAtMillis: millis, nonce: parts[1], digest: parts[2]}, nil
}

func newNonce() string {
	var raw [nonceSize]byte
	rand.Read(raw[:])
	return base64.RawURLEncoding.EncodeToString(raw[:])
}

// keyedDigest returns the truncated HMAC-SHA256 of fields and body under secret, in
// base64.
func keyedDigest(secret []byte, body []byte, fields ...string) string {
	sum := hmac.New(sha256.New, secret)
	for _, field := range fields {
		sum.Write([]byte(field))
		sum.Write([]byte{0})
	}
	sum.Write(body)
	return base64.RawURLEncoding.EncodeToString(sum.Sum(nil)[:digestSize])
}

// signRequest returns the signature of a request to the router at host.
func signRequest(secret []byte, host, path string, body []byte, now time.Time) signature {
	s := signature{sentAtMillis: now.UnixMilli(), nonce: newNonce()}
	s.digest = s.requestDigest(secret, http.MethodPost, host, path, body)
	return s
}

// requestDigest returns the digest of a request with the signature's time and
// nonce.
func (s signature) requestDigest(secret []byte, method, host, path string, body []byte) string {
	millis := strconv.FormatInt(s.sentAtMillis, 36)
	return keyedDigest(secret, body, requestLabel, method, host, path, millis, s.nonce)
}

// answerDigest returns the digest of the answer to the request with the given
// nonce.
func answerDigest(secret []byte, nonce string, status int, body []byte) string {
	return keyedDigest(secret, body, answerLabel, nonce, strconv.Itoa(status))
}

// verify returns the request's signature, or a PeerRejected error unless the
// request was signed with secret for this receiver.
func verify(secret []byte, r *http.Request, body []byte) (signature, error) {
	s, err := parseSignature(r.Header.Get(signatureHeader))
	if err != nil {
		return signature{}, err
	}
	want := s.requestDigest(secret, r.Method, r.Host, r.URL.RequestURI(), body)
	if !hmac.Equal([]byte(want), []byte(s.digest)) {
		return s, code.New(code.PeerRejected, "the signature does not match")
	}
	return s, replayGuardOf(r).check(r.Host, s, time.Now())
}
