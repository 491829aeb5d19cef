package metrics

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Gateway holds the instruments of a gateway. Label values come from fixed lists, so that
// the number of series does not depend on the number of workspaces or endpoints. All
// methods are safe for concurrent use.
type Gateway struct {
	*Metrics
	requests    metric.Int64Counter
	sends       metric.Int64Counter
	connections metric.Int64Counter
	callers     metric.Int64Counter
	left        metric.Int64Counter
	unconfirmed metric.Int64Counter
	shed        metric.Int64Counter
	promptRead  metric.Int64Counter
	promptHeld  metric.Int64Counter
	events      metric.Int64Counter

	unread  metric.Float64Histogram
	choice  metric.Float64Histogram
	connect metric.Float64Histogram
	// locationWait is recorded for requests that waited.
	locationWait metric.Float64Histogram
	firstByte    metric.Float64Histogram
	firstEvent   metric.Float64Histogram
	pause        metric.Float64Histogram
	total        metric.Float64Histogram
}

// gatewayBounds are the bucket boundaries of a gateway's histograms, in seconds.
var gatewayBounds = []float64{0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 0.8, 1.5, 3, 10, 30}

// NewGateway returns the instruments of a gateway, with a registry of their own.
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
		{&g.connections, "cardamompoint.gateway_connections", "Connections to endpoints by event."},
		{&g.callers, "cardamompoint.gateway_caller_connections", "Closed connections of callers by reason."},
		{&g.left, "cardamompoint.gateway_callers_left", "Requests whose callers left before the answer, by whether they had been sent to an endpoint."},
		{&g.unconfirmed, "cardamompoint.gateway_unconfirmed_refusals", "Answers of endpoints that look like a refusal and may come after a run."},
		{&g.shed, "cardamompoint.gateway_shed", "Requests refused because of excess load, by the criterion that decided."},
		{&g.promptRead, "cardamompoint.gateway_prompt_read", "Shared prompt tokens that an endpoint had to prefill."},
		{&g.promptHeld, "cardamompoint.gateway_prompt_held", "Shared prompt tokens expected in the endpoint's cache."},
		{&g.events, "cardamompoint.gateway_events", "Pieces of streams forwarded to callers."},
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
		{&g.unread, "cardamompoint.gateway_unread", "Time that a request lay unread before the process read it."},
		{&g.choice, "cardamompoint.gateway_choice", "Time to choose an endpoint."},
		{&g.connect, "cardamompoint.gateway_connect", "Time to get a connection to an endpoint."},
		{&g.locationWait, "cardamompoint.gateway_location_wait", "Time that a request with a long prompt waited at a VM that had just started."},
		{&g.firstByte, "cardamompoint.gateway_first_byte", "Time from sending a request to an endpoint to the header of its answer."},
		{&g.firstEvent, "cardamompoint.gateway_first_event", "Time from a request to the first event of its stream."},
		{&g.pause, "cardamompoint.gateway_pause", "Longest pause between events of a stream."},
		{&g.total, "cardamompoint.gateway_total", "Time from a request to the end of its answer."},
	}
	for _, h := range histograms {
		instrument, err := g.meter.Float64Histogram(h.name, metric.WithDescription(h.help),
			metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(gatewayBounds...))
		if err != nil {
			return eris.Wrap(err, h.name)
		}
		*h.target = instrument
	}
	return nil
}

// ObserveRequest counts a caller's request by the name of its result code and the kind of
// its route, and records its duration.
func (g *Gateway) ObserveRequest(code, kind string, took time.Duration) {
	g.requests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("code", code), attribute.String("kind", kind)))
	g.total.Record(context.Background(), took.Seconds())
}

// CountAttempt counts a request sent to an endpoint. attempt is "first" or "retry"; outcome
// is the name of its result.
func (g *Gateway) CountAttempt(attempt, outcome string) {
	g.sends.Add(context.Background(), 1, metric.WithAttributes(attribute.String("attempt", attempt), attribute.String("outcome", outcome)))
}

// CountConnection counts a connection to an endpoint. outcome is "opened", "reused", "kept",
// "closed", "failed" or "stale".
func (g *Gateway) CountConnection(outcome string) {
	g.connections.Add(context.Background(), 1, metric.WithAttributes(attribute.String("became", outcome)))
}

// CountCallerConnection counts a connection of a caller that was closed for a reason. unanswered
// reports whether bytes on it got no response.
func (g *Gateway) CountCallerConnection(reason string, unanswered bool) {
	g.callers.Add(context.Background(), 1, metric.WithAttributes(attribute.String("closed", reason), attribute.Bool("unanswered", unanswered)))
}

// CountCallerLeft counts a request whose caller left before the answer. sent reports whether it had been sent
// to an endpoint.
func (g *Gateway) CountCallerLeft(sent bool) {
	g.left.Add(context.Background(), 1, metric.WithAttributes(attribute.Bool("sent", sent)))
}

// CountUnconfirmedRefusal counts an answer whose status promises that the request was not executed, although
// the endpoint does not say so.
func (g *Gateway) CountUnconfirmedRefusal() {
	g.unconfirmed.Add(context.Background(), 1)
}

// CountShed counts a request that was refused because of excess load. reason is the name of the criterion
// that decided: "excess", "share", "late" or "hopeless".
func (g *Gateway) CountShed(reason string) {
	g.shed.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// AddPromptTokens adds the shared tokens of a prompt: those expected in the endpoint's cache
// and those that the endpoint had to compute.
func (g *Gateway) AddPromptTokens(cached, computed int) {
	g.promptHeld.Add(context.Background(), int64(cached))
	g.promptRead.Add(context.Background(), int64(computed))
}

// ObserveUnread records how long a request lay unread before the process read it.
func (g *Gateway) ObserveUnread(wait time.Duration) {
	g.unread.Record(context.Background(), wait.Seconds())
}

// ObserveChoice records the time to choose an endpoint.
func (g *Gateway) ObserveChoice(took time.Duration) {
	g.choice.Record(context.Background(), took.Seconds())
}

// ObserveLocationWait records how long a request waited for the locations of its prompt's parts.
func (g *Gateway) ObserveLocationWait(took time.Duration) {
	g.locationWait.Record(context.Background(), took.Seconds())
}

// ObserveConnect records the time to get a connection to an endpoint.
func (g *Gateway) ObserveConnect(took time.Duration) {
	g.connect.Record(context.Background(), took.Seconds())
}

// ObserveFirstByte records the time from sending a request to the response header.
func (g *Gateway) ObserveFirstByte(took time.Duration) {
	g.firstByte.Record(context.Background(), took.Seconds())
}

// ObserveStream records a finished stream: the number of its events, the time from the
// request to the first event, and the longest pause between two events.
func (g *Gateway) ObserveStream(events int, firstEvent, longestPause time.Duration) {
	g.events.Add(context.Background(), int64(events))
	g.firstEvent.Record(context.Background(), firstEvent.Seconds())
	g.pause.Record(context.Background(), longestPause.Seconds())
}
