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

const maxAnswerBytes = 16 << 20

// MaxHeaderBytes bounds the head of an answer between processes and of the store, in bytes.
const MaxHeaderBytes = 64 << 10

// Get asks for url and decodes the answer into out.
func Get(ctx context.Context, client *http.Client, url string, out any) error {
	raw, err := GetBytes(ctx, client, url)
	if err != nil {
		return err
	}
	return decode(raw, out)
}

// GetBytes asks for url and returns the body of the answer.
func GetBytes(ctx context.Context, client *http.Client, url string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, code.Wrap(err, code.InternalFault, "the request can't be made")
	}
	return doBytes(client, request)
}

// Post sends in to url and decodes the answer into out, which may be nil.
func Post(ctx context.Context, client *http.Client, url string, in, out any) error {
	request, err := NewPost(ctx, url, in)
	if err != nil {
		return err
	}
	return Do(client, request, out)
}

// NewPost returns a POST request with in as its JSON body. The request has no
// GetBody, so that a transport never repeats it by itself.
func NewPost(ctx context.Context, url string, in any) (*http.Request, error) {
	raw, err := json.Marshal(in)
	if err != nil {
		return nil, code.Wrap(err, code.InternalFault, "the request can't be encoded")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return nil, code.Wrap(err, code.InternalFault, "the request can't be made")
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// Do sends request and decodes the answer into out, which may be nil. The
// body is read to its end, so that the connection may be used again.
func Do(client *http.Client, request *http.Request, out any) error {
	raw, err := doBytes(client, request)
	if err != nil {
		return err
	}
	return decode(raw, out)
}

// decode decodes an answer into out, which may be nil.
func decode(raw []byte, out any) error {
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return code.Wrap(err, code.EndpointFault, "the answer can't be decoded")
	}
	return nil
}

// doBytes sends request and returns the body of the answer, read to its end.
func doBytes(client *http.Client, request *http.Request) ([]byte, error) {
	response, err := client.Do(request)
	if err != nil {
		return nil, SendError(err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, code.Wrap(err, code.EndpointFault, "the answer was cut")
	}
	if response.StatusCode != http.StatusOK {
		return nil, DecodeError(response.StatusCode, raw)
	}
	return raw, nil
}

// SendError classifies an error of http.Client.Do. A failed dial proves that
// no byte was sent: the result is PeerUnreachable, which says so. Any other
// failure leaves the outcome unknown.
func SendError(err error) *code.Error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return code.Wrap(err, code.PeerUnreachable, "the connection can't be opened")
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return code.Wrap(err, code.DeadlineExceeded, "the deadline has passed")
	}
	if errors.Is(err, context.Canceled) {
		return code.Wrap(err, code.Canceled, "the request was canceled")
	}
	return code.Wrap(err, code.EndpointFault, "the connection failed")
}

// DecodeError returns the error that a body with a status other than 200 carries.
func DecodeError(status int, raw []byte) *code.Error {
	var envelope ErrorBody
	if err := json.Unmarshal(raw, &envelope); err == nil && envelope.Error != nil && envelope.Error.Code != 0 {
		return envelope.Error
	}
	return code.New(code.EndpointFault, "the answer has status %d", status)
}
