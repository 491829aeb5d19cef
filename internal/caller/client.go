// Package caller is a small client of routers for the demo and for tests.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"cardamompoint.example/cardamompoint/internal/jsonhttp"
	"cardamompoint.example/cardamompoint/router/api"
)

// Client sends requests to one router. It is safe for concurrent use.
type Client struct {
	address string
	http    *http.Client
}

// New returns a Client for the router that listens for callers at address.
func New(address string) *Client {
	return &Client{address: address, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Ask sends a streaming completion request and returns the whole answer. On an error, the
// answer holds what was received before it.
func (c *Client) Ask(ctx context.Context, completion api.CompletionRequest) (*Answer, error) {
	return c.Continue(ctx, completion, &Answer{})
}

// Continue sends a streaming completion request that continues after the tokens in answer,
// and adds the new tokens to it.
func (c *Client) Continue(ctx context.Context, completion api.CompletionRequest, answer *Answer) (*Answer, error) {
	completion.Stream = true
	completion.Prefix = answer.Tokens
	request, err := jsonhttp.NewPost(ctx, "http://"+c.address+"/v1/chat/completions", completion)
	if err != nil {
		return answer, err
	}
	return c.readStream(request, answer)
}

// Cancel cancels the answer in progress with the given stream ID.
func (c *Client) Cancel(ctx context.Context, stream string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+c.address+"/v1/streams/"+stream, nil)
	if err != nil {
		return eris.Wrap(err, "create request")
	}
	return jsonhttp.Do(c.http, request, nil)
}

// Resume resumes an answer that was interrupted and adds the new tokens to it.
func (c *Client) Resume(ctx context.Context, answer *Answer) (*Answer, error) {
	url := "http://" + c.address + "/v1/streams/" + answer.Stream + "?offset=" + answer.nextOffset()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return answer, eris.Wrap(err, "create request")
	}
	return c.readStream(request, answer)
}

// readStream sends a request and adds the events of the response to answer.
func (c *Client) readStream(request *http.Request, answer *Answer) (*Answer, error) {
	response, err := c.http.Do(request)
	if err != nil {
		return answer, jsonhttp.SendError(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(response.Body)
		return answer, jsonhttp.DecodeError(response.StatusCode, raw)
	}
	return answer, answer.ReadEvents(response.Body)
}

// Ticket requests a ticket for a workspace.
func (c *Client) Ticket(ctx context.Context, workspace string) (string, error) {
	var ticket api.Ticket
	err := jsonhttp.Post(ctx, c.http, "http://"+c.address+"/v1/tickets", api.TicketRequest{Workspace: workspace}, &ticket)
	return ticket.Ticket, err
}

// Call sends a request to a service without prompts and returns the raw response. key is
// the idempotency key; it may be empty. The transport never retries the request.
func (c *Client) Call(ctx context.Context, workspace, method, path, key string, body any) (json.RawMessage, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, eris.Wrap(err, "encode body")
	}
	url := "http://" + c.address + "/v1/services/" + workspace + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(raw))
	if err != nil {
		return nil, eris.Wrap(err, "create request")
	}
	request.GetBody = nil
	if key != "" {
		request.Header["Idempotency-Key"] = []string{key}
	}
	var answer json.RawMessage
	err = jsonhttp.Do(c.http, request, &answer)
	return answer, err
}
