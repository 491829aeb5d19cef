package endpoint

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"cardamompoint.example/cardamompoint/internal/jsonhttp"
)

// EngineClient implements Engine for engines that answer with JSON lines over
// HTTP. It is safe for concurrent use.
type EngineClient struct {
	reader       LineReader
	resumeReader LineReader
}

// resumeTimeoutDivisor divides the silence timeout for the first line of a
// resumed stream: an engine that still runs the stream answers at once.
const resumeTimeoutDivisor = 2

// NewEngineClient returns an EngineClient. It abandons an answer that delivers no
// line for silenceTimeout or no token for stallTimeout.
func NewEngineClient(transport http.RoundTripper, silenceTimeout, stallTimeout time.Duration) *EngineClient {
	reader := LineReader{HTTP: &http.Client{Transport: transport}, SilenceTimeout: silenceTimeout, StallTimeout: stallTimeout}
	resumeReader := reader
	resumeReader.FirstLineTimeout = silenceTimeout / resumeTimeoutDivisor
	return &EngineClient{reader: reader, resumeReader: resumeReader}
}

// Generate implements Engine.
func (c *EngineClient) Generate(ctx context.Context, address string, work Work, sink Sink) error {
	request, err := jsonhttp.NewPost(ctx, "http://"+address+"/v1/generate", work)
	if err != nil {
		return err
	}
	validator := LineValidator{RequestID: work.RequestID, StreamID: work.StreamID, NextOffset: len(work.Prefix)}
	return c.reader.Read(request, &validator, sink)
}

// Resume implements Engine.
func (c *EngineClient) Resume(ctx context.Context, address, requestID, streamID string, offset int, sink Sink) error {
	target := fmt.Sprintf("http://%s/v1/streams/%s?offset=%d", address, url.PathEscape(streamID), offset)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	validator := LineValidator{RequestID: requestID, StreamID: streamID, NextOffset: offset}
	return c.resumeReader.Read(request, &validator, sink)
}

// Cancel implements Engine.
func (c *EngineClient) Cancel(ctx context.Context, address, streamID string) error {
	ctx, cancel := context.WithTimeout(ctx, c.reader.SilenceTimeout)
	defer cancel()
	target := "http://" + address + "/v1/streams/" + url.PathEscape(streamID)
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, target, nil)
	if err != nil {
		return err
	}
	return jsonhttp.Do(c.reader.HTTP, request, nil)
}

// Load implements Engine.
func (c *EngineClient) Load(ctx context.Context, address string) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, c.reader.SilenceTimeout)
	defer cancel()
	var load Load
	err := jsonhttp.Get(ctx, c.reader.HTTP, "http://"+address+"/v1/load", &load)
	return load, err
}
