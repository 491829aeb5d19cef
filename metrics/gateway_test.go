package metrics

import (
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"
)

// TestEachGatewayInstrumentIsInTheDocs checks that docs/METRICS.md lists each exported
// instrument of a gateway.
func TestEachGatewayInstrumentIsInTheDocs(t *testing.T) {
	g, err := NewGateway()
	if err != nil {
		t.Fatal(err)
	}
	g.ObserveRequest("ok", "streaming", time.Second)
	g.CountAttempt("first", "done")
	g.CountConnection("opened")
	g.CountCallerConnection("idle", false)
	g.AddPromptTokens(1, 2)
	g.CountCallerLeft(false)
	g.CountShed("late")
	g.ObserveUnread(time.Microsecond)
	g.ObserveChoice(time.Microsecond)
	g.ObserveConnect(time.Millisecond)
	g.ObserveFirstByte(time.Millisecond)
	g.ObserveStream(5, time.Second, time.Millisecond)
	response := httptest.NewRecorder()
	g.Handler().ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	page, err := os.ReadFile("../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for line := range strings.Lines(response.Body.String()) {
		name, ok := strings.CutPrefix(line, "# TYPE cardamompoint_gateway_")
		if !ok {
			continue
		}
		found++
		name, _, _ = strings.Cut(name, " ")
		name = strings.TrimSuffix(strings.TrimSuffix(name, "_total"), "_seconds")
		if !strings.Contains(string(page), "`cardamompoint.gateway_"+name) {
			t.Errorf("docs/METRICS.md lacks cardamompoint.gateway_%s", name)
		}
	}
	if found != 16 {
		t.Errorf("%d instruments are exported, want 16", found)
	}
}
