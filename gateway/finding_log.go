package gateway

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/gateway/configcheck"
	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// findingInterval is the interval at which the VM looks for a configuration that was not checked yet.
	findingInterval = time.Second
	// maxLoggedFindings bounds the lines per version. The command line tool prints all findings.
	maxLoggedFindings = 5
)

// findingLog logs the findings of each configuration in force once, errors first. It works outside the tracker's lock, in
// which configurations are applied.
type findingLog struct {
	tracker  *knowledge.Tracker
	settings *traffic.Settings
	// checked is the last configuration whose findings were logged.
	checked *traffic.Configuration
}

// run logs findings until ctx ends.
func (l *findingLog) run(ctx context.Context) {
	for ctx.Err() == nil {
		l.logNew()
		clock.Sleep(ctx, findingInterval)
	}
}

// logNew logs the findings of the configuration in force unless that was done. It returns the number of lines.
func (l *findingLog) logNew() int {
	configuration := l.tracker.Snapshot().Configuration
	if configuration == nil || configuration == l.checked {
		return 0
	}
	l.checked = configuration
	findings, total := configcheck.CheckFirst(configuration, l.settings, maxLoggedFindings)
	for _, finding := range findings {
		klog.InfoS("config: finding in the configuration", "version", configuration.Version, "finding", finding.String(), "findings", total)
	}
	return len(findings)
}
