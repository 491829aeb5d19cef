// Package metrics defines the OpenTelemetry instruments of a router and of a gateway.
// docs/METRICS.md lists them.
package metrics

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"cardamompoint.example/cardamompoint/code"
)

// Metrics holds the instruments of one router. All methods are safe for concurrent use.
type Metrics struct {
	provider *sdk.MeterProvider
	registry *prometheus.Registry
	meter    metric.Meter

	results   metric.Int64Counter
	decisions metric.Int64Counter
	tokens    metric.Int64Counter
	reused    metric.Int64Counter
	retries   metric.Int64Counter

	firstToken metric.Float64Histogram
	tokenGap   metric.Float64Histogram
}

// The bucket boundaries of the histograms, in seconds. 1 s to the first token and 30 ms
// between tokens are among them, so that the counts within these times are exact.
var (
	firstTokenBounds = []float64{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30}
	tokenGapBounds   = []float64{0.001, 0.0025, 0.005, 0.01, 0.02, 0.03, 0.05, 0.1, 0.25, 1, 5}
)

// New returns the instruments of a router, with a registry of their own.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry))
	if err != nil {
		return nil, eris.Wrap(err, "creating the metrics exporter failed")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(reader))
	m := &Metrics{provider: provider, registry: registry, meter: provider.Meter("cardamompoint")}
	if err := m.addCounters(); err != nil {
		return nil, err
	}
	return m, m.addHistograms()
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
		instrument, err := m.meter.Int64Counter(counter.name, metric.WithDescription(counter.help))
		if err != nil {
			return eris.Wrap(err, counter.name)
		}
		*counter.target = instrument
	}
	return nil
}

func (m *Metrics) addHistograms() error {
	histograms := []struct {
		target     *metric.Float64Histogram
		name, help string
		bounds     []float64
	}{
		{&m.firstToken, "cardamompoint.first_token", "Time from a request to its first token.", firstTokenBounds},
		{&m.tokenGap, "cardamompoint.token_gap", "Time between two tokens of an answer.", tokenGapBounds},
	}
	for _, h := range histograms {
		instrument, err := m.meter.Float64Histogram(h.name, metric.WithDescription(h.help),
			metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(h.bounds...))
		if err != nil {
			return eris.Wrap(err, h.name)
		}
		*h.target = instrument
	}
	return nil
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// RegisterGauge registers a gauge. read returns its value; it is called when metrics are
// served and must be safe for concurrent use.
func (m *Metrics) RegisterGauge(name, help string, read func() int64) error {
	callback := func(_ context.Context, observer metric.Int64Observer) error {
		observer.Observe(read())
		return nil
	}
	_, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(help), metric.WithInt64Callback(callback))
	return eris.Wrap(err, name)
}

// CountResult counts a caller's request by its result code.
func (m *Metrics) CountResult(c code.Code) {
	m.results.Add(context.Background(), 1, metric.WithAttributes(attribute.String("code", c.String())))
}

// CountDecision counts a routing decision by its outcome.
func (m *Metrics) CountDecision(outcome string) {
	m.decisions.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// AddTokens adds the tokens delivered in a finished answer, and the prompt tokens whose
// context was reused.
func (m *Metrics) AddTokens(tokens, reused int) {
	m.tokens.Add(context.Background(), int64(tokens))
	m.reused.Add(context.Background(), int64(reused))
}

// CountRetry counts an attempt after the first one.
func (m *Metrics) CountRetry() {
	m.retries.Add(context.Background(), 1)
}

// ObserveFirstToken records the time from a request to its first token.
func (m *Metrics) ObserveFirstToken(latency time.Duration) {
	m.firstToken.Record(context.Background(), latency.Seconds())
}

// ObserveTokenGap records the time between two tokens of an answer.
func (m *Metrics) ObserveTokenGap(gap time.Duration) {
	m.tokenGap.Record(context.Background(), gap.Seconds())
}
