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
		transport = &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}
	}
	return &Client{address: address, http: &http.Client{Transport: transport}}
}

// Changes implements ConfigReader.
func (c *Client) Changes(ctx context.Context, after int64, wait time.Duration) (Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/changes?after=%d&wait_ms=%d", c.address, after, wait.Milliseconds())
	var changes Changes
	err := c.get(ctx, url, &changes)
	return changes, err
}

// List implements VMLister.
func (c *Client) List(ctx context.Context, after int64) (VMList, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var list VMList
	err := c.get(ctx, fmt.Sprintf("http://%s/v1/vms?after=%d", c.address, after), &list)
	return list, err
}

// get performs a GET request and decodes the answer. Errors other than a rejection
// carry code.PlatformSilent.
func (c *Client) get(ctx context.Context, url string, out any) error {
	err := jsonhttp.Get(ctx, c.http, url, out)
	if err == nil {
		return nil
	}
	if code.Is(err, code.PlatformRejected) {
		return err
	}
	return code.Wrap(err, code.PlatformSilent, "the platform does not answer")
}
