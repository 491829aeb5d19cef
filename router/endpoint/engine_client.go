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
	lines   LineReader
	resumed LineReader
}

// resumePart divides the silence bound for the first line of a resumed stream:
// an engine that still runs the stream answers at once.
const resumePart = 2

// NewEngineClient returns an EngineClient. An answer that is silent for longer
// than silence, or makes no token for longer than stall, is abandoned.
func NewEngineClient(transport http.RoundTripper, silence, stall time.Duration) *EngineClient {
	lines := LineReader{HTTP: &http.Client{Transport: transport}, SilenceTimeout: silence, StallTimeout: stall}
	resumed := lines
	resumed.FirstLineTimeout = silence / resumePart
	return &EngineClient{lines: lines, resumed: resumed}
}

// Generate implements Engine.
func (c *EngineClient) Generate(ctx context.Context, address string, work Work, sink Sink) error {
	request, err := jsonhttp.NewPost(ctx, "http://"+address+"/v1/generate", work)
	if err != nil {
		return err
	}
	guard := LineValidator{RequestID: work.RequestID, StreamID: work.StreamID, NextOffset: len(work.Prefix)}
	return c.lines.Read(request, &guard, sink)
}

// Resume implements Engine.
func (c *EngineClient) Resume(ctx context.Context, address, requestID, streamID string, offset int, sink Sink) error {
	target := fmt.Sprintf("http://%s/v1/streams/%s?offset=%d", address, url.PathEscape(streamID), offset)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	guard := LineValidator{RequestID: requestID, StreamID: streamID, NextOffset: offset}
	return c.resumed.Read(request, &guard, sink)
}

// Cancel implements Engine.
func (c *EngineClient) Cancel(ctx context.Context, address, streamID string) error {
	ctx, cancel := context.WithTimeout(ctx, c.lines.SilenceTimeout)
	defer cancel()
	target := "http://" + address + "/v1/streams/" + url.PathEscape(streamID)
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, target, nil)
	if err != nil {
		return err
	}
	return jsonhttp.Do(c.lines.HTTP, request, nil)
}

// Load implements Engine.
func (c *EngineClient) Load(ctx context.Context, address string) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, c.lines.SilenceTimeout)
	defer cancel()
	var load Load
	err := jsonhttp.Get(ctx, c.lines.HTTP, "http://"+address+"/v1/load", &load)
	return load, err
}
