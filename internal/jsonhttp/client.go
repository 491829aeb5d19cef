package jsonhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"

	"cardamompoint.example/cardamompoint/code"
)

// maxResponseBytes bounds the body of a response. What exceeds it is cut off.
const maxResponseBytes = 16 << 20

// MaxHeaderBytes bounds the response headers between processes and of the store, in bytes.
const MaxHeaderBytes = 64 << 10

// Get sends a GET request to url and decodes the response into out. Errors are of type
// *code.Error.
func Get(ctx context.Context, client *http.Client, url string, out any) error {
	raw, err := GetBytes(ctx, client, url)
	if err != nil {
		return err
	}
	return decode(raw, out)
}

// GetBytes sends a GET request to url and returns the body of the response.
func GetBytes(ctx context.Context, client *http.Client, url string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, code.Wrap(err, code.InternalFault, "create request")
	}
	return doRaw(client, request)
}

// Post sends in to url as JSON and decodes the response into out, which may be nil. Errors
// are of type *code.Error.
func Post(ctx context.Context, client *http.Client, url string, in, out any) error {
	request, err := NewPost(ctx, url, in)
	if err != nil {
		return err
	}
	return Do(client, request, out)
}

// NewPost returns a POST request with in as its JSON body. The request has no GetBody, so
// that a transport never retries it on its own.
func NewPost(ctx context.Context, url string, in any) (*http.Request, error) {
	raw, err := json.Marshal(in)
	if err != nil {
		return nil, code.Wrap(err, code.InternalFault, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return nil, code.Wrap(err, code.InternalFault, "create request")
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// Do sends request and decodes the response into out, which may be nil. The body is read
// to its end, so that the connection can be reused. Errors are of type *code.Error.
func Do(client *http.Client, request *http.Request, out any) error {
	raw, err := doRaw(client, request)
	if err != nil {
		return err
	}
	return decode(raw, out)
}

// decode decodes the body of a response into out, which may be nil.
func decode(raw []byte, out any) error {
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return code.Wrap(err, code.EndpointFault, "decode response")
	}
	return nil
}

// doRaw sends request and returns the body of the response, read to its end.
func doRaw(client *http.Client, request *http.Request) ([]byte, error) {
	response, err := client.Do(request)
	if err != nil {
		return nil, SendError(err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, code.Wrap(err, code.EndpointFault, "response truncated")
	}
	if response.StatusCode != http.StatusOK {
		return nil, DecodeError(response.StatusCode, raw)
	}
	return raw, nil
}

// SendError classifies an error of http.Client.Do. A failed dial proves that nothing was
// sent, so its code is PeerUnreachable. Any other failure leaves the outcome unknown.
func SendError(err error) *code.Error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return code.Wrap(err, code.PeerUnreachable, "connection can't be opened")
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return code.Wrap(err, code.DeadlineExceeded, "deadline exceeded")
	}
	if errors.Is(err, context.Canceled) {
		return code.Wrap(err, code.Canceled, "request canceled")
	}
	return code.Wrap(err, code.EndpointFault, "connection failed")
}

// DecodeError returns the error in the body of a response whose status is not 200. If the
// body has none, it returns an EndpointFault with the status.
func DecodeError(status int, raw []byte) *code.Error {
	var envelope ErrorBody
	if err := json.Unmarshal(raw, &envelope); err == nil && envelope.Error != nil && envelope.Error.Code != 0 {
		return envelope.Error
	}
	return code.New(code.EndpointFault, "unexpected status %d", status)
}
