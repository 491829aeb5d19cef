package gateway

import (
	"fmt"
	"strings"
	"testing"

	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/platform"
)

// TestFindingsAreLoggedOncePerVersion guards against findings that are repeated while a version is in force, that are
// missing for the next version, and that flood the log.
func TestFindingsAreLoggedOncePerVersion(t *testing.T) {
	l := &findingLog{tracker: knowledge.NewTracker(nil), settings: &traffic.Settings{}}
	if lines := l.logNew(); lines != 0 {
		t.Errorf("%d lines without a configuration", lines)
	}
	for i, findings := range []int{8, 0, 2} {
		services := strings.TrimSuffix(strings.Repeat(`{"name":"s%d"},`, findings), ",")
		for n := range findings {
			services = strings.Replace(services, "%d", fmt.Sprint(n), 1)
		}
		item := platform.Item{Key: platform.ConfigurationKey, Value: fmt.Appendf(nil, `{"version":%d,"services":[%s]}`, i+1, services), Era: 1, Revision: int64(i + 1)}
		l.tracker.Apply(knowledge.Update{Items: []platform.Item{item}, Full: true, Era: 1, Revision: item.Revision}, clock.Now())
		if lines := l.logNew(); lines != min(findings, maxLoggedFindings) {
			t.Errorf("version %d with %d findings: %d lines", i+1, findings, lines)
		}
		if lines := l.logNew(); lines != 0 {
			t.Errorf("version %d: %d lines again", i+1, lines)
		}
	}
}
