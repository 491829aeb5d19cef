package endpoint

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"cardamompoint.example/cardamompoint/internal/jsonhttp"
)

// EngineClient is the adapter for engines that speak HTTP with JSON lines. It
// implements Engine and is safe for concurrent use.
type EngineClient struct {
	http     *http.Client
	progress time.Duration
}

// NewEngineClient returns an EngineClient. An answer that is silent for longer
// than progress is abandoned.
func NewEngineClient(transport http.RoundTripper, progress time.Duration) *EngineClient {
	return &EngineClient{http: &http.Client{Transport: transport}, progress: progress}
}

// Generate implements Engine.
func (c *EngineClient) Generate(ctx context.Context, address string, work Work, sink Sink) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request, err := jsonhttp.NewPost(ctx, "http://"+address+"/v1/generate", work)
	if err != nil {
		return err
	}
	guard := LineGuard{RequestID: work.RequestID, StreamID: work.StreamID, Next: len(work.Prefix)}
	return ReadLines(c.http, request, cancel, c.progress, &guard, sink)
}

// Resume implements Engine.
func (c *EngineClient) Resume(ctx context.Context, address, requestID, streamID string, offset int, sink Sink) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	target := fmt.Sprintf("http://%s/v1/streams/%s?offset=%d", address, url.PathEscape(streamID), offset)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	guard := LineGuard{RequestID: requestID, StreamID: streamID, Next: offset}
	return ReadLines(c.http, request, cancel, c.progress, &guard, sink)
}

// Cancel implements Engine.
func (c *EngineClient) Cancel(ctx context.Context, address, streamID string) error {
	ctx, cancel := context.WithTimeout(ctx, c.progress)
	defer cancel()
	target := "http://" + address + "/v1/streams/" + url.PathEscape(streamID)
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, target, nil)
	if err != nil {
		return err
	}
	return jsonhttp.Do(c.http, request, nil)
}

// Load implements Engine.
func (c *EngineClient) Load(ctx context.Context, address string) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, c.progress)
	defer cancel()
	var load Load
	err := jsonhttp.Get(ctx, c.http, "http://"+address+"/v1/load", &load)
	return load, err
}
