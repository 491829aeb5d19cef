package metrics

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Gateway has the instruments of a gateway. Its label values come from fixed
// lists, so that workspaces and endpoints can't grow the series. All methods are
// safe for concurrent use.
type Gateway struct {
	*Metrics
	requests    metric.Int64Counter
	sends       metric.Int64Counter
	connections metric.Int64Counter
	promptRead  metric.Int64Counter
	promptHeld  metric.Int64Counter
	events      metric.Int64Counter

	choice     metric.Float64Histogram
	connect    metric.Float64Histogram
	firstByte  metric.Float64Histogram
	firstEvent metric.Float64Histogram
	pause      metric.Float64Histogram
	total      metric.Float64Histogram
}

// gatewayBounds are the bounds of a gateway's histograms, in seconds.
var gatewayBounds = []float64{0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 0.8, 1.5, 3, 10, 30}

// NewGateway returns the instruments of a gateway.
func NewGateway() (*Gateway, error) {
	m, err := New()
	if err != nil {
		return nil, err
	}
	g := &Gateway{Metrics: m}
	if err := g.addGatewayCounters(); err != nil {
		return nil, err
	}
	return g, g.addGatewayHistograms()
}

func (g *Gateway) addGatewayCounters() error {
	counters := []struct {
		target     *metric.Int64Counter
		name, help string
	}{
		{&g.requests, "cardamompoint.gateway_requests", "Requests of callers by result code and kind."},
		{&g.sends, "cardamompoint.gateway_sends", "Requests sent to endpoints by attempt and outcome."},
		{&g.connections, "cardamompoint.gateway_connections", "Connections to endpoints by what became of them."},
		{&g.promptRead, "cardamompoint.gateway_prompt_read", "Shared prompt tokens that an endpoint had to read."},
		{&g.promptHeld, "cardamompoint.gateway_prompt_held", "Shared prompt tokens that were expected to be held."},
		{&g.events, "cardamompoint.gateway_events", "Pieces of streams passed on."},
	}
	for _, counter := range counters {
		instrument, err := g.meter.Int64Counter(counter.name, metric.WithDescription(counter.help))
		if err != nil {
			return eris.Wrap(err, counter.name)
		}
		*counter.target = instrument
	}
	return nil
}

func (g *Gateway) addGatewayHistograms() error {
	histograms := []struct {
		target     *metric.Float64Histogram
		name, help string
	}{
		{&g.choice, "cardamompoint.gateway_choice", "Time to choose an endpoint."},
		{&g.connect, "cardamompoint.gateway_connect", "Time to get a connection to an endpoint."},
		{&g.firstByte, "cardamompoint.gateway_first_byte", "Time from sending to an endpoint to its answer's header."},
		{&g.firstEvent, "cardamompoint.gateway_first_event", "Time from a request to the first event of its stream."},
		{&g.pause, "cardamompoint.gateway_pause", "Longest pause between events of a stream."},
		{&g.total, "cardamompoint.gateway_total", "Time from a request to the end of its answer."},
	}
	for _, h := range histograms {
		made, err := g.meter.Float64Histogram(h.name, metric.WithDescription(h.help),
			metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(gatewayBounds...))
		if err != nil {
			return eris.Wrap(err, h.name)
		}
		*h.target = made
	}
	return nil
}

// Request counts a caller's request by the name of its result code and the kind
// of its route, and its time.
func (g *Gateway) ObserveRequest(code, kind string, took time.Duration) {
	g.requests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("code", code), attribute.String("kind", kind)))
	g.total.Record(context.Background(), took.Seconds())
}

// Send counts one send to an endpoint. attempt is "first" or "retry".
func (g *Gateway) CountAttempt(attempt, outcome string) {
	g.sends.Add(context.Background(), 1, metric.WithAttributes(attribute.String("attempt", attempt), attribute.String("outcome", outcome)))
}

// Connection counts a connection to an endpoint: "opened", "reused", "kept",
// "closed" or "failed".
func (g *Gateway) CountConnection(outcome string) {
	g.connections.Add(context.Background(), 1, metric.WithAttributes(attribute.String("became", outcome)))
}

// Prompt counts the shared tokens of a prompt.
func (g *Gateway) AddPromptTokens(cached, computed int) {
	g.promptHeld.Add(context.Background(), int64(cached))
	g.promptRead.Add(context.Background(), int64(computed))
}

// Choice counts the time to choose an endpoint.
func (g *Gateway) ObserveChoice(took time.Duration) {
	g.choice.Record(context.Background(), took.Seconds())
}

// Connect counts the time to get a connection.
func (g *Gateway) ObserveConnect(took time.Duration) {
	g.connect.Record(context.Background(), took.Seconds())
}

// FirstByte counts the time to an answer's header.
func (g *Gateway) ObserveFirstByte(took time.Duration) {
	g.firstByte.Record(context.Background(), took.Seconds())
}

// Stream counts a stream that has ended.
func (g *Gateway) ObserveStream(pieces int, firstEvent, longestPause time.Duration) {
	g.events.Add(context.Background(), int64(pieces))
	g.firstEvent.Record(context.Background(), firstEvent.Seconds())
	g.pause.Record(context.Background(), longestPause.Seconds())
}
