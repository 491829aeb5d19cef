package jsonhttp

import (
	"context"
	"net/http"
	"testing"

	"cardamompoint.example/cardamompoint/internal/fleettest"
)

// TestCutResponseOfAnotherProcessIsNoResponse guards against a part of a response that is taken for the whole one.
func TestCutResponseOfAnotherProcessIsNoResponse(t *testing.T) {
	t.Parallel()
	client := &http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: MaxHeaderBytes}}
	defer client.CloseIdleConnections()
	fleettest.CheckCutResponses(t, "12", func(ctx context.Context, address string) error {
		_, err := GetBytes(ctx, client, "http://"+address)
		return err
	})
}
