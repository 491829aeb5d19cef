package peer

import (
	"context"
	"encoding/json"
	"net/http"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
)

// maxMessageBytes bounds the size of a message and of an answer.
const maxMessageBytes = 64 << 20

// Handle returns a handler that verifies the signature, decodes the message and
// answers with the result of serve. The answer is signed, unless the message can't be
// read.
func Handle[In, Out any](secret []byte, serve func(context.Context, In) (Out, error)) http.Handler {
	return HandleStream(secret, func(w http.ResponseWriter, r *http.Request, in In) {
		answer := newAnswerWriter()
		out, err := serve(r.Context(), in)
		if err != nil {
			jsonhttp.WriteError(answer, err)
		} else {
			jsonhttp.Write(answer, out)
		}
		signed, _ := parseSignature(r.Header.Get(signatureHeader))
		answer.send(w, secret, signed.nonce)
	})
}

// HandleStream returns a handler that verifies the signature, decodes the message
// and leaves the answer to serve. Its own answers to an invalid signature and to a
// message that can't be decoded are signed, so that the sender knows that nothing ran.
func HandleStream[In any](secret []byte, serve func(http.ResponseWriter, *http.Request, In)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, err := jsonhttp.ReadBytes(w, r, maxMessageBytes)
		if err != nil {
			jsonhttp.WriteError(w, err)
			return
		}
		signed, err := verify(secret, r, raw)
		if err != nil {
			sendError(w, secret, signed.nonce, err)
			return
		}
		var in In
		if err := json.Unmarshal(raw, &in); err != nil {
			sendError(w, secret, signed.nonce, code.Wrap(err, code.BadRequest, "the message can't be decoded"))
			return
		}
		serve(w, r, in)
	})
}

// sendError answers the message with the given nonce with a signed error.
func sendError(w http.ResponseWriter, secret []byte, nonce string, err error) {
	answer := newAnswerWriter()
	jsonhttp.WriteError(answer, err)
	answer.send(w, secret, nonce)
}
