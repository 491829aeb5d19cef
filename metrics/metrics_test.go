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
	m.CountResult(code.Overloaded)
	m.CountDecision("served")
	m.AddTokens(3, 2)
	m.CountRetry()
	m.ObserveFirstToken(time.Second)
	m.ObserveTokenGap(30 * time.Millisecond)
	response := httptest.NewRecorder()
	m.Handler().ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if !strings.Contains(response.Body.String(), `cardamompoint_results_total{code="overloaded"`) {
		t.Errorf("the result counter is not exported:\n%s", response.Body)
	}
	for _, served := range []string{`cardamompoint_first_token_seconds_bucket{`, `le="1"} 1`, `cardamompoint_token_gap_seconds_bucket{`, `le="0.03"} 1`} {
		if !strings.Contains(response.Body.String(), served) {
			t.Errorf("%s is not exported:\n%s", served, response.Body)
		}
	}
	page, err := os.ReadFile("../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(response.Body.String()) {
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
