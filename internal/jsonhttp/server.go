package jsonhttp

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/compress"
)

// ErrorBody is the JSON body of every answer that is not a success.
type ErrorBody struct {
	Error *code.Error `json:"error"`
}

// Write answers with status 200 and body as JSON.
func Write(w http.ResponseWriter, body any) {
	if raw, ok := encode(w, body); ok {
		w.Write(raw)
	}
}

// encode returns body as JSON and sets its type. If that fails, it answers and reports
// false.
func encode(w http.ResponseWriter, body any) ([]byte, bool) {
	raw, err := json.Marshal(body)
	if err != nil {
		WriteError(w, code.Wrap(err, code.InternalFault, "the answer can't be encoded"))
		return nil, false
	}
	w.Header().Set("Content-Type", "application/json")
	return raw, true
}

// compressFrom is the size from which an answer is worth compressing, in bytes.
const compressFrom = 1 << 10

// WriteCompressed does the same, and compresses a long answer if the caller takes that.
func WriteCompressed(w http.ResponseWriter, r *http.Request, body any) {
	raw, ok := encode(w, body)
	if !ok {
		return
	}
	if len(raw) < compressFrom || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Write(raw)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	compress.Write(w, raw) // The caller is gone if that fails.
}

// WriteError answers with the numbered error in err.
func WriteError(w http.ResponseWriter, err error) {
	coded := code.Of(err)
	w.Header().Set("Content-Type", "application/json")
	if coded.RetryAfterMS > 0 {
		seconds := (coded.RetryAfterMS + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(code.Describe(coded.Code).Status)
	json.NewEncoder(w).Encode(ErrorBody{Error: coded})
}

// Read decodes the request's body into out. Unknown fields are errors. Errors
// carry code.BadRequest or code.BodyTooLarge.
func Read(w http.ResponseWriter, r *http.Request, limit int64, out any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		return readError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return code.New(code.BadRequest, "there is text after the body")
	}
	return nil
}

// ReadBytes returns the request's whole body.
func ReadBytes(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return nil, readError(err)
	}
	return raw, nil
}

func readError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return code.New(code.BodyTooLarge, "the body has more than %d bytes", tooLarge.Limit)
	}
	return code.Wrap(err, code.BadRequest, "the body can't be decoded")
}
