package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
)

// Client sends signed messages to other routers. It is safe for concurrent use.
type Client struct {
	secret []byte
	http   *http.Client
}

// NewClient returns a Client that signs with secret.
func NewClient(secret []byte, transport http.RoundTripper) *Client {
	return &Client{secret: secret, http: &http.Client{Transport: transport}}
}

// HTTP returns the underlying client.
func (c *Client) HTTP() *http.Client {
	return c.http
}

// Post sends in to path at the router with the given address and decodes the
// answer into out, which may be nil.
func (c *Client) Post(ctx context.Context, address, path string, in, out any) error {
	request, err := c.NewRequest(ctx, address, path, in)
	if err != nil {
		return err
	}
	return jsonhttp.Do(c.http, request, out)
}

// NewRequest returns a signed POST request. A transport never repeats it by
// itself.
func (c *Client) NewRequest(ctx context.Context, address, path string, in any) (*http.Request, error) {
	raw, err := json.Marshal(in)
	if err != nil {
		return nil, code.Wrap(err, code.InternalFault, "the message can't be encoded")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(raw))
	if err != nil {
		return nil, code.Wrap(err, code.InternalFault, "the message can't be sent")
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(signatureHeader, signature(c.secret, http.MethodPost, path, raw))
	return request, nil
}
