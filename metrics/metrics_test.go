package metrics

import (
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/code"
)

func TestEachInstrumentIsServedAndInTheDocs(t *testing.T) {
	m, err := New()
	if err != nil {
		t.Fatal(err)
	}
	m.Result(code.Overloaded)
	m.Decision("served")
	m.Answer(3, 2)
	m.Retry()
	m.FirstToken(time.Second)
	m.TokenGap(30 * time.Millisecond)
	answer := httptest.NewRecorder()
	m.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if !strings.Contains(answer.Body.String(), `cardamompoint_results_total{code="overloaded"`) {
		t.Errorf("the result is not served:\n%s", answer.Body)
	}
	for _, served := range []string{`cardamompoint_first_token_seconds_bucket{`, `le="1"} 1`, `cardamompoint_token_gap_seconds_bucket{`, `le="0.03"} 1`} {
		if !strings.Contains(answer.Body.String(), served) {
			t.Errorf("%s is not served:\n%s", served, answer.Body)
		}
	}
	page, err := os.ReadFile("../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(answer.Body.String()) {
		name, found := strings.CutPrefix(line, "# TYPE cardamompoint_")
		if !found {
			continue
		}
		name, _, _ = strings.Cut(name, " ")
		documented := "`cardamompoint." + strings.TrimSuffix(strings.TrimSuffix(name, "_total"), "_seconds") + "`"
		if !strings.Contains(string(page), documented) {
			t.Errorf("docs/METRICS.md lacks %s", documented)
		}
	}
}
