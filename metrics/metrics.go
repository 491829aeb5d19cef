// Package metrics holds the OpenTelemetry instruments of a router. The table
// is in docs/METRICS.md.
package metrics

import (
	"context"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"cardamompoint.example/cardamompoint/code"
)

// Metrics are the instruments of one router. All methods are safe for
// concurrent use.
type Metrics struct {
	provider *sdk.MeterProvider
	registry *prometheus.Registry
	meter    metric.Meter

	results   metric.Int64Counter
	decisions metric.Int64Counter
	tokens    metric.Int64Counter
	reused    metric.Int64Counter
	retries   metric.Int64Counter
}

// New returns Metrics with a registry of their own.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry))
	if err != nil {
		return nil, eris.Wrap(err, "the metrics exporter can't be made")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(reader))
	m := &Metrics{provider: provider, registry: registry, meter: provider.Meter("cardamompoint")}
	if err := m.addCounters(); err != nil {
		return nil, err
	}
	return m, nil
}

func (m *Metrics) addCounters() error {
	counters := []struct {
		target     *metric.Int64Counter
		name, help string
	}{
		{&m.results, "cardamompoint.results", "Requests of callers by result code."},
		{&m.decisions, "cardamompoint.decisions", "Routing decisions by outcome."},
		{&m.tokens, "cardamompoint.tokens", "Tokens delivered to callers."},
		{&m.reused, "cardamompoint.reused_tokens", "Prompt tokens whose context was reused."},
		{&m.retries, "cardamompoint.retries", "Attempts after the first one."},
	}
	for _, counter := range counters {
		made, err := m.meter.Int64Counter(counter.name, metric.WithDescription(counter.help))
		if err != nil {
			return eris.Wrap(err, counter.name)
		}
		*counter.target = made
	}
	return nil
}

// Handler serves the metrics in Prometheus' text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Gauge registers a gauge whose value is read when metrics are served.
func (m *Metrics) Gauge(name, help string, read func() int64) error {
	callback := func(_ context.Context, observer metric.Int64Observer) error {
		observer.Observe(read())
		return nil
	}
	_, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(help), metric.WithInt64Callback(callback))
	return eris.Wrap(err, name)
}

// Result counts a caller's request by its result.
func (m *Metrics) Result(c code.Code) {
	m.results.Add(context.Background(), 1, metric.WithAttributes(attribute.String("code", c.String())))
}

// Decision counts a routing decision by its outcome.
func (m *Metrics) Decision(outcome string) {
	m.decisions.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// Answer counts the tokens of a finished answer.
func (m *Metrics) Answer(tokens, reused int) {
	m.tokens.Add(context.Background(), int64(tokens))
	m.reused.Add(context.Background(), int64(reused))
}

// Retry counts an attempt after the first one.
func (m *Metrics) Retry() {
	m.retries.Add(context.Background(), 1)
}
