package peer

import (
	"bytes"
	"context"
	"crypto/hmac"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
)

// Client sends signed messages to other routers. It is safe for concurrent use.
type Client struct {
	secret []byte
	http   *http.Client
}

// NewClient returns a Client that signs its messages with secret.
func NewClient(secret []byte, transport http.RoundTripper) *Client {
	return &Client{secret: secret, http: &http.Client{Transport: transport}}
}

// HTTP returns the underlying client.
func (c *Client) HTTP() *http.Client {
	return c.http
}

// Post sends in to path at the router with the given address and decodes the answer
// into out, which may be nil. If the answer is not signed with the secret for this
// request, Post returns an EndpointFault: it is then unknown whether the request
// was processed.
func (c *Client) Post(ctx context.Context, address, path string, in, out any) error {
	request, err := c.NewRequest(ctx, address, path, in)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return jsonhttp.SendError(err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxMessageBytes))
	if err != nil {
		return code.Wrap(err, code.EndpointFault, "the answer is incomplete")
	}
	if err := c.verifyAnswer(request, response, raw); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return jsonhttp.DecodeError(response.StatusCode, raw)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return code.Wrap(err, code.EndpointFault, "the answer can't be decoded")
	}
	return nil
}

// verifyAnswer returns an error unless body is signed as the answer to request.
func (c *Client) verifyAnswer(request *http.Request, response *http.Response, body []byte) error {
	sent, err := parseSignature(request.Header.Get(signatureHeader))
	if err != nil {
		return err
	}
	want := answerDigest(c.secret, sent.nonce, response.StatusCode, body)
	if !hmac.Equal([]byte(want), []byte(response.Header.Get(signatureHeader))) {
		return code.New(code.EndpointFault, "the answer with status %d is not signed by a router of this fleet", response.StatusCode)
	}
	return nil
}

// NewRequest returns a signed POST request. GetBody is nil, so that a transport
// never repeats the request. Default headers that routers don't read are
// suppressed.
func (c *Client) NewRequest(ctx context.Context, address, path string, in any) (*http.Request, error) {
	raw, err := json.Marshal(in)
	if err != nil {
		return nil, code.Wrap(err, code.InternalFault, "the message can't be encoded")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(raw))
	if err != nil {
		return nil, code.Wrap(err, code.InternalFault, "the request can't be created")
	}
	request.GetBody = nil
	request.Header["User-Agent"] = []string{""}
	request.Header.Set(signatureHeader, signRequest(c.secret, address, path, raw, time.Now()).String())
	return request, nil
}
