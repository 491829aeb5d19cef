package caller

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"

	"cardamompoint.example/cardamompoint/internal/jsonhttp"
)

// Outcome requests the outcome of the work with the given idempotency key.
func (c *Client) Outcome(ctx context.Context, workspace, key string) (json.RawMessage, error) {
	return c.outcome(ctx, http.MethodGet, workspace, key)
}

// Revoke requests that the work with the given idempotency key is never executed, if it
// has not begun.
func (c *Client) Revoke(ctx context.Context, workspace, key string) (json.RawMessage, error) {
	return c.outcome(ctx, http.MethodDelete, workspace, key)
}

// outcome sends a request about an outcome and returns the raw response.
func (c *Client) outcome(ctx context.Context, method, workspace, key string) (json.RawMessage, error) {
	url := "http://" + c.address + "/v1/outcomes/" + workspace + "/" + key
	request, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "create request")
	}
	var answer json.RawMessage
	err = jsonhttp.Do(c.http, request, &answer)
	return answer, err
}
