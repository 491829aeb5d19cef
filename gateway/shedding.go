package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/gateway/choice"
	"cardamompoint.example/cardamompoint/gateway/shed"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// shedders holds one Shedder per service. It is safe for concurrent use.
type shedders struct {
	mu       sync.Mutex
	services map[string]*shed.Shedder
}

func newShedders() *shedders {
	return &shedders{services: map[string]*shed.Shedder{}}
}

// forService returns the Shedder of a service.
func (s *shedders) forService(service string) *shed.Shedder {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.services[service]
	if !ok {
		found = shed.New()
		s.services[service] = found
	}
	return found
}

// outputTokenWeight is the cost of an output token relative to a prompt token.
const outputTokenWeight = 10

// shed refuses a request before its first attempt if the service is overloaded and other
// requests have precedence.
func (c *call) shed(pick choice.Pick) error {
	if c.attempts > 0 {
		return nil
	}
	request := shed.Request{
		Priority:      c.priority(),
		RoutePriority: c.grant.route.Priority,
		Route:         c.grant.route.Name,
		Cost:          estimateCost(&c.request.Prompt),
		Draw:          xxhash.Sum64String(c.request.ID),
		Backlog:       time.Duration(pick.BacklogMS * float64(time.Millisecond)),
		Delay:         time.Duration(pick.DelayMS * float64(time.Millisecond)),
		Objective:     c.grant.route.LatencyObjective,
		Occupancy:     pick.UsableMean / float64(max(1, pick.Endpoint.Slots)),
	}
	if c.grant.workspace != nil {
		request.Workspace = c.grant.workspace.Name
	}
	if left, bounded := c.timeLeft(); bounded {
		request.TimeLeft = left
	}
	decision := c.gateway.shedders.forService(c.grant.service).Decide(request, clock.Now())
	if !decision.Refused {
		return nil
	}
	c.gateway.metrics.CountShed(decision.Reason.String())
	reason := code.Overloaded
	if decision.OverShare {
		reason = code.WorkspaceShare
	}
	return code.New(reason, "%.0f%% of the requests for %s exceed its capacity; refused by %s, rank %d; %.0f%% of the slots are occupied",
		100*decision.Excess, c.grant.service, decision.Reason, decision.Rank, 100*request.Occupancy).After(decision.RetryAfter)
}

// estimateCost estimates the work of a request for an endpoint, in thousands of prompt tokens.
// A request without a prompt counts as 1.
func estimateCost(prompt *traffic.Prompt) float64 {
	if len(prompt.Parts) == 0 {
		return 1
	}
	output := prompt.ExpectedOutputTokens
	if output == 0 {
		output = prompt.MaxOutputTokens
	}
	own := max(0, prompt.Tokens-prompt.SharedTokens())
	return float64(1000+own+outputTokenWeight*output) / 1000
}

// refusedAsFull reports whether an endpoint refused the request because it was full.
func (o outcome) refusedAsFull() bool {
	full := o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests
	return o.result == resultNotExecuted && !o.unsent && full
}

// recordStreamTime reports to the Shedder how long a complete stream lasted after its first
// event.
func (x *exchange) recordStreamTime() {
	if x.headerSent && x.firstEventAt >= x.started {
		x.gateway.shedders.forService(x.grant.service).RecordAnswerTime(clock.Now().Sub(x.firstEventAt))
	}
}

// recordRejected reports to the Shedder a request that was sent to endpoints and refused by
// all of them because they were full.
func (c *call) recordRejected() {
	if c.attempts > 0 && c.refusals == c.attempts {
		c.gateway.shedders.forService(c.grant.service).RecordRejected(clock.Now())
	}
}
