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

// ErrorBody is the JSON body of all error responses.
type ErrorBody struct {
	Error *code.Error `json:"error"`
}

// Write sends a response with status 200 and body as JSON.
func Write(w http.ResponseWriter, body any) {
	if raw, ok := encode(w, body); ok {
		w.Write(raw)
	}
}

// encode returns body as JSON and sets the Content-Type. If body can't be encoded, it sends
// an error response and returns false.
func encode(w http.ResponseWriter, body any) ([]byte, bool) {
	raw, err := json.Marshal(body)
	if err != nil {
		WriteError(w, code.Wrap(err, code.InternalFault, "encode response"))
		return nil, false
	}
	w.Header().Set("Content-Type", "application/json")
	return raw, true
}

// minCompressBytes is the smallest size of a body that is worth compressing.
const minCompressBytes = 1 << 10

// WriteCompressed is like Write, but compresses a large body if the client accepts gzip.
func WriteCompressed(w http.ResponseWriter, r *http.Request, body any) {
	raw, ok := encode(w, body)
	if !ok {
		return
	}
	if len(raw) < minCompressBytes || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Write(raw)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	compress.Write(w, raw) // An error means that the client has disconnected.
}

// WriteError sends the code.Error in err with the status of its code. Retry-After is
// rounded up to whole seconds.
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

// Read decodes the body of a request, of at most limit bytes, into out. It rejects unknown
// fields. Errors have the code code.BadRequest or code.BodyTooLarge.
func Read(w http.ResponseWriter, r *http.Request, limit int64, out any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		return bodyError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return code.New(code.BadRequest, "unexpected data after the JSON body")
	}
	return nil
}

// ReadBytes returns the body of a request, of at most limit bytes. Errors are those of
// Read.
func ReadBytes(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return nil, bodyError(err)
	}
	return raw, nil
}

// bodyError returns the code.Error for an error of reading or decoding a body.
func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return code.New(code.BodyTooLarge, "body exceeds %d bytes", tooLarge.Limit)
	}
	return code.Wrap(err, code.BadRequest, "decode body")
}
