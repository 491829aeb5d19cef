package source

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
)

// Client reads from the platform's services, JSON over HTTP. It implements
// ConfigReader and VMLister and is safe for concurrent use.
type Client struct {
	address string
	http    *http.Client
}

// callTimeout bounds a call, in addition to the time that the platform may hold it.
const callTimeout = 2 * time.Second

// NewClient returns a Client for the platform at address. A nil transport means a
// new http.Transport.
func NewClient(address string, transport http.RoundTripper) *Client {
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: jsonhttp.MaxHeaderBytes}
	}
	return &Client{address: address, http: &http.Client{Transport: transport}}
}

// Changes implements ConfigReader.
func (c *Client) Changes(ctx context.Context, after int64, wait time.Duration) (Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/changes?after=%d&wait_ms=%d", c.address, after, wait.Milliseconds())
	raw, err := c.get(ctx, url)
	if err != nil {
		return Changes{}, err
	}
	return decodeChanges(raw)
}

// List implements VMLister.
func (c *Client) List(ctx context.Context, after int64) (VMList, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	raw, err := c.get(ctx, fmt.Sprintf("http://%s/v1/vms?after=%d", c.address, after))
	if err != nil {
		return VMList{}, err
	}
	return decodeList(raw)
}

// get performs a GET request and returns the body of the answer. Errors other than a
// rejection carry code.PlatformSilent.
func (c *Client) get(ctx context.Context, url string) ([]byte, error) {
	raw, err := jsonhttp.GetBytes(ctx, c.http, url)
	if err == nil || code.Is(err, code.PlatformRejected) {
		return raw, err
	}
	return nil, code.Wrap(err, code.PlatformSilent, "the platform does not answer")
}
