package jsonhttp

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestLongAnswersAreCompressed checks that short and long responses arrive unchanged, and
// that a long one is compressed only for clients that accept gzip.
func TestLongAnswersAreCompressed(t *testing.T) {
	long := strings.Repeat("a part at an endpoint, ", 1000)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		WriteCompressed(w, r, map[string]string{"/long": long, "/short": "x"}[r.URL.Path])
	}))
	defer server.Close()
	for path, want := range map[string]string{"/long": long, "/short": "x"} {
		var got string
		if err := Get(context.Background(), server.Client(), server.URL+path, &got); err != nil || got != want {
			t.Errorf("%s: got %d bytes, %v", path, len(got), err)
		}
	}
	request := httptest.NewRequest(http.MethodGet, "/long", nil)
	plain := httptest.NewRecorder()
	WriteCompressed(plain, request, long)
	request.Header.Set("Accept-Encoding", "gzip")
	compressed := httptest.NewRecorder()
	WriteCompressed(compressed, request, long)
	if compressed.Body.Len() > plain.Body.Len()/4 || plain.Body.Len() < len(long) {
		t.Errorf("%d bytes plain, %d compressed", plain.Body.Len(), compressed.Body.Len())
	}
}
