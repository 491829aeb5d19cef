package gateway

import (
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// A gateway serves its metrics at MetricsPath on port MetricsPort.
const (
	MetricsPort = 9464
	MetricsPath = "/metrics"
)

// maxShownAge bounds the age that a gauge shows; it is the value if nothing was ever confirmed.
const maxShownAge = time.Hour

// addGauges registers the gauges that are read when metrics are collected.
func (g *Gateway) addGauges() error {
	gauges := []struct {
		name, help string
		read       func() int64
	}{
		{"cardamompoint.gateway_in_progress", "Requests of callers in progress.", g.active.Load},
		{"cardamompoint.gateway_config_version", "Version of the configuration in force, 0 if there is none.", g.configVersion},
		{"cardamompoint.gateway_knowledge_age", "Time since the knowledge was confirmed, in milliseconds.", g.knowledgeAge},
		{"cardamompoint.gateway_store_era", "Era of the store, which rises when the store comes back from a copy.", g.storeEra},
		{"cardamompoint.gateway_cut_watches", "Watches that the store has cut while they waited, since the start.", g.reader.Cuts},
		{"cardamompoint.gateway_unsettled_entries", "Endpoint entries that are held or doubted.", g.unsettledCount},
		{"cardamompoint.gateway_evacuated_domains", "Failure domains whose endpoints get no new requests by order of the operator.", g.evacuatedDomains},
		{"cardamompoint.gateway_members", "VMs that count as alive, this one included.", g.memberCount},
		{"cardamompoint.gateway_endpoints", "Published endpoints that accept new requests.", g.endpointCount},
		{"cardamompoint.gateway_idle_connections", "Idle connections to endpoints.", func() int64 { return int64(g.pool.Idle()) }},
		{"cardamompoint.gateway_idle_resets", "Endpoints that reset idle connections lately.", func() int64 { return g.idleResets.InForce(clock.Now()) }},
		{"cardamompoint.gateway_retry_budget", "Retries that are still allowed now, the minimum over all services.", g.minRetryBudget},
		{"cardamompoint.gateway_retry_budget_vms", "VMs that share the fixed part of the retry budget.", func() int64 { return int64(g.budget.FleetSize()) }},
		{"cardamompoint.gateway_limited_endpoints", "Endpoints with a limit on their requests.", g.limits.InForce},
		{"cardamompoint.gateway_cold_endpoints", "Endpoints that are cold and take a limited number of requests.", func() int64 { return g.warmUps.Cold(clock.Now()) }},
		{"cardamompoint.gateway_contended_endpoints", "Endpoints whose hosts take at least 15 percent longer than usual at the moment.", func() int64 { return g.table.Contended(clock.Now()) }},
		{"cardamompoint.gateway_quarantines", "Prompt parts and requests that are refused because endpoints crash under them.", g.quarantineCount},
		{"cardamompoint.gateway_log_lines_dropped", "Log lines that were dropped.", func() int64 { return g.droppedLines() }},
	}
	for _, gauge := range gauges {
		if err := g.metrics.RegisterGauge(gauge.name, gauge.help, gauge.read); err != nil {
			return err
		}
	}
	return nil
}

// configVersion returns the version of the configuration in force, 0 if there is none.
func (g *Gateway) configVersion() int64 {
	if configuration := g.tracker.Snapshot().Configuration; configuration != nil {
		return configuration.Version
	}
	return 0
}

// knowledgeAge returns the time since the last confirmation of the data, in milliseconds.
func (g *Gateway) knowledgeAge() int64 {
	return min(g.tracker.Age(clock.Now()), maxShownAge).Milliseconds()
}

// storeEra returns the era of the store; 0 if it is not known.
func (g *Gateway) storeEra() int64 {
	return g.tracker.Newest().Era
}

func (g *Gateway) unsettledCount() int64 {
	return int64(len(g.tracker.Unsettled()))
}

func (g *Gateway) evacuatedDomains() int64 {
	return int64(len(g.tracker.Snapshot().Evacuated))
}

func (g *Gateway) memberCount() int64 {
	return int64(g.vmCount())
}

func (g *Gateway) endpointCount() int64 {
	count := 0
	for _, ready := range g.tracker.Snapshot().Ready {
		count += len(ready)
	}
	return int64(count)
}

// minRetryBudget returns the number of retries still allowed, the minimum over all services.
func (g *Gateway) minRetryBudget() int64 {
	configuration := g.tracker.Snapshot().Configuration
	if configuration == nil {
		return 0
	}
	least, found := 0.0, false
	for name := range configuration.Services {
		if left := g.budget.Remaining(name, clock.Now()); !found || left < least {
			least, found = left, true
		}
	}
	return int64(least)
}

// CountDroppedLines sets the function that returns the number of dropped log lines. It must be
// called before Run.
func (g *Gateway) CountDroppedLines(dropped func() int64) {
	g.droppedLines = dropped
}
