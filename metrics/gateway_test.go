package metrics

import (
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"
)

// TestEachGatewayInstrumentIsInTheDocs serves all instruments of a gateway and
// looks for each in the page.
func TestEachGatewayInstrumentIsInTheDocs(t *testing.T) {
	g, err := NewGateway()
	if err != nil {
		t.Fatal(err)
	}
	g.Request("ok", "streaming", time.Second)
	g.Send("first", "done")
	g.Connection("opened")
	g.Prompt(1, 2)
	g.Choice(time.Microsecond)
	g.Connect(time.Millisecond)
	g.FirstByte(time.Millisecond)
	g.Stream(5, time.Second, time.Millisecond)
	answer := httptest.NewRecorder()
	g.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	page, err := os.ReadFile("../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for line := range strings.Lines(answer.Body.String()) {
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
	if found != 12 {
		t.Errorf("%d instruments are served, want 12", found)
	}
}
