package fleettest

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// ServeBody serves body as the response to all requests until t ends. It returns the address.
func ServeBody(t testing.TB, body string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, body) // An error means that the client has read enough.
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}
