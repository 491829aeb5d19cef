package gateway

import (
	"fmt"
	"strings"
	"testing"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// TestStalledBodyIsAnsweredInTime guards against requests that are held for longer than their time because their body does not come.
func TestStalledBodyIsAnsweredInTime(t *testing.T) {
	f := newTestFleet(t, 1)
	for name, framing := range map[string]string{
		"a length": "Content-Length: 100\r\n\r\nabc",
		"chunks":   "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
	} {
		head := fmt.Sprintf("POST /deposit/1 HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nCardamompoint-Attempt-Id: 00000000000000b1\r\nCardamompoint-Request-Deadline: 500\r\n", hosted.Host, hosted.Key)
		if got := f.sendRaw(1, head+framing); !strings.Contains(got, " 408 ") {
			t.Errorf("a body with %s that stalls got %q, want 408", name, got)
		}
		if f.executions("00000000000000b1") != 0 {
			t.Errorf("a body with %s that stalls was executed", name)
		}
	}
}
