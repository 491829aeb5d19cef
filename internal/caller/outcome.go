package caller

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"

	"cardamompoint.example/cardamompoint/internal/jsonhttp"
)

// Outcome asks for the outcome of work that may not be repeated.
func (c *Client) Outcome(ctx context.Context, workspace, key string) (json.RawMessage, error) {
	return c.outcome(ctx, http.MethodGet, workspace, key)
}

// Revoke asks that work that has not begun never runs.
func (c *Client) Revoke(ctx context.Context, workspace, key string) (json.RawMessage, error) {
	return c.outcome(ctx, http.MethodDelete, workspace, key)
}

func (c *Client) outcome(ctx context.Context, method, workspace, key string) (json.RawMessage, error) {
	url := "http://" + c.address + "/v1/outcomes/" + workspace + "/" + key
	request, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "the request can't be made")
	}
	var answer json.RawMessage
	err = jsonhttp.Do(c.http, request, &answer)
	return answer, err
}
