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

// signatureHeader carries time, nonce and keyed digest of a message, separated
// by dots. It is short, since each control message carries two of them.
const signatureHeader = "Sig"

const (
	nonceBytes  = 9
	digestBytes = 16
)

// The first field of what is signed keeps requests and answers apart.
const (
	requestMark = "request"
	answerMark  = "answer"
)

// signature is the content of the signature header.
type signature struct {
	// millis is the sender's wall clock, in milliseconds.
	millis int64
	// nonce is new with each request. An answer repeats the request's nonce.
	nonce string
	// digest is the keyed digest.
	digest string
}

func (s signature) String() string {
	return strconv.FormatInt(s.millis, 36) + "." + s.nonce + "." + s.digest
}

func parseSignature(header string) (signature, error) {
	parts := strings.Split(header, ".")
	if len(parts) != 3 {
		return signature{}, code.New(code.PeerRejected, "the signature is missing")
	}
	millis, err := strconv.ParseInt(parts[0], 36, 64)
	if err != nil {
		return signature{}, code.New(code.PeerRejected, "the signature's time can't be read")
	}
	return signature{millis: millis, nonce: parts[1], digest: parts[2]}, nil
}

func newNonce() string {
	var raw [nonceBytes]byte
	rand.Read(raw[:])
	return base64.RawURLEncoding.EncodeToString(raw[:])
}

// keyedDigest returns the digest of fields and body under secret.
func keyedDigest(secret []byte, body []byte, fields ...string) string {
	sum := hmac.New(sha256.New, secret)
	for _, field := range fields {
		sum.Write([]byte(field))
		sum.Write([]byte{0})
	}
	sum.Write(body)
	return base64.RawURLEncoding.EncodeToString(sum.Sum(nil)[:digestBytes])
}

// signRequest returns the signature of a request to the router at host.
func signRequest(secret []byte, host, path string, body []byte, now time.Time) signature {
	s := signature{millis: now.UnixMilli(), nonce: newNonce()}
	s.digest = s.requestDigest(secret, http.MethodPost, host, path, body)
	return s
}

func (s signature) requestDigest(secret []byte, method, host, path string, body []byte) string {
	millis := strconv.FormatInt(s.millis, 36)
	return keyedDigest(secret, body, requestMark, method, host, path, millis, s.nonce)
}

func answerDigest(secret []byte, nonce string, status int, body []byte) string {
	return keyedDigest(secret, body, answerMark, nonce, strconv.Itoa(status))
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
	return s, guardOf(r).check(r.Host, s, time.Now())
}
