package router

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"cardamompoint.example/cardamompoint/router/source"
)

// lateBody is a body whose end arrives after its router began to refuse requests.
type lateBody struct {
	io.Reader
	router *Router
}

func (b *lateBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		b.router.closing.Store(true)
	}
	return n, err
}

// TestBodyThatEndsAfterTheLingerIsRefused guards against requests that a router that shuts down begins late and then cuts.
func TestBodyThatEndsAfterTheLingerIsRefused(t *testing.T) {
	completion, err := json.Marshal(pairCompletion(3))
	if err != nil {
		t.Fatal(err)
	}
	engine := newPairEngine()
	runPair(t, engine.Handler(), func(p *streamPair) {
		p.entry.store.Apply([]source.Document{{Key: "workspaces/w/template", Version: 3, Data: json.RawMessage(
			`{"completion": {"models": [{"model": "m"}], "max_tokens": 4000},
				"routes": [{"method": "POST", "path": "/lanes", "service": "s", "idempotent": true}]}`)}}, 3)
		for path, body := range map[string]string{"/v1/chat/completions": string(completion), "/v1/services/w/lanes": "lane 7"} {
			request := httptest.NewRequest(http.MethodPost, path, &lateBody{strings.NewReader(body), p.entry})
			answer := httptest.NewRecorder()
			p.entry.callersMux().ServeHTTP(answer, request)
			p.entry.closing.Store(false)
			if text := answer.Body.String(); answer.Code != http.StatusServiceUnavailable || !strings.Contains(text, `"code":204`) || !strings.Contains(text, `"not run"`) {
				t.Errorf("%s: got %d: %s", path, answer.Code, text)
			}
		}
		if runs := engine.Runs(); len(runs) > 0 {
			t.Errorf("the engine ran %v", runs)
		}
	})
}
