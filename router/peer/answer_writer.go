package peer

import (
	"bytes"
	"net/http"
)

// answerWriter buffers an answer, so that it can be signed as a whole.
type answerWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newAnswerWriter() *answerWriter {
	return &answerWriter{header: http.Header{}, status: http.StatusOK}
}

func (a *answerWriter) Header() http.Header { return a.header }

func (a *answerWriter) WriteHeader(status int) { a.status = status }

func (a *answerWriter) Write(p []byte) (int, error) { return a.body.Write(p) }

// send writes the signed answer. It suppresses default headers that routers don't
// read.
func (a *answerWriter) send(w http.ResponseWriter, secret []byte, nonce string) {
	header := w.Header()
	header["Date"] = nil
	header["Content-Type"] = nil
	header.Set(signatureHeader, answerDigest(secret, nonce, a.status, a.body.Bytes()))
	w.WriteHeader(a.status)
	w.Write(a.body.Bytes())
}
