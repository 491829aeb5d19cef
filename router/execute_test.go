package router

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/once"
	"cardamompoint.example/cardamompoint/router/settings"
	"cardamompoint.example/cardamompoint/router/source"
)

// delayedService fails the first call after a delay, without having sent it, and
// counts the calls that it serves.
type delayedService struct {
	endpoint.Service

	sleep time.Duration

	mu    sync.Mutex
	tries int
	calls int
}

func (s *delayedService) Call(_ context.Context, address string, _ endpoint.Call) (endpoint.Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tries++
	if s.tries == 1 && s.sleep > 0 {
		time.Sleep(s.sleep)
		return endpoint.Answer{}, code.New(code.NotSent, "no connection")
	}
	s.calls++
	return endpoint.Answer{Status: http.StatusOK, Endpoint: address}, nil
}

// newExecutorRouter returns a router that knows two workers.
func newExecutorRouter(t *testing.T, service endpoint.Service) *Router {
	t.Helper()
	s := settings.Defaults()
	s.Peers = "127.0.0.1:7001"
	s.Secret = []byte("0123456789abcdef")
	r, err := New(Options{Settings: &s, Service: service})
	if err != nil {
		t.Fatal(err)
	}
	r.members.SetList(source.VMList{Version: 1, VMs: []source.VM{
		{Address: s.Peers, Role: source.RoleRouter, State: source.StateLive},
		{Address: "127.0.0.2:1", Role: source.RoleService, Group: "booking", State: source.StateLive},
		{Address: "127.0.0.3:1", Role: source.RoleService, Group: "booking", State: source.StateLive},
	}}, time.Now())
	return r
}

func (r *Router) testTicket() once.Ticket {
	self := r.members.Self()
	return once.NewTicket(self.Address, self.Incarnation, "w", time.Now().Add(milliseconds(r.settings.Timing.KeyWindowMS)))
}

// TestNothingIsSentAfterTheTicketHasExpired lets the first attempt take longer than
// the ticket is valid: the call must not be sent to the next worker.
func TestNothingIsSentAfterTheTicketHasExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := &delayedService{sleep: time.Hour}
		r := newExecutorRouter(t, service)
		order := execution{Ticket: r.testTicket(), Service: "booking", DeadlineMS: 2 * time.Hour.Milliseconds()}
		outcome, err := r.serveExecute(t.Context(), order)
		if err != nil || outcome.Error == nil || outcome.Error.Code != code.NotSent {
			t.Errorf("got %+v, %v", outcome, err)
		}
		if service.calls != 0 {
			t.Error("a call was sent after the ticket had expired")
		}
		if _, err := r.serveExecute(t.Context(), order); !code.Is(err, code.KeyExpired) {
			t.Errorf("a repeat answers %v", err)
		}
	})
}

// TestRepeatsAndRevocationsOfATicket checks that a ticket's work runs once, that a
// late revocation returns its outcome, and that a ticket of an earlier process
// leaves the outcome unknown.
func TestRepeatsAndRevocationsOfATicket(t *testing.T) {
	service := &delayedService{}
	r := newExecutorRouter(t, service)
	order := execution{Ticket: r.testTicket(), Service: "booking", DeadlineMS: 1000}
	for range 3 {
		if outcome, err := r.serveExecute(t.Context(), order); err != nil || outcome.Answer == nil {
			t.Fatalf("got %+v, %v", outcome, err)
		}
	}
	query := outcomeQuery{Ticket: order.Ticket, Revoke: true, DeadlineMS: 1000}
	if outcome, err := r.serveOutcomeQuery(t.Context(), query); err != nil || outcome.Answer == nil {
		t.Errorf("a revocation of work that has run answers %+v, %v", outcome, err)
	}
	foreign := order
	foreign.Ticket.Incarnation = "an earlier one"
	if _, err := r.serveExecute(t.Context(), foreign); !code.Is(err, code.OutcomeUnknown) {
		t.Errorf("a ticket of an earlier process answers %v", err)
	}
	if service.calls != 1 {
		t.Errorf("the work ran %d times", service.calls)
	}
}

// TestRefusalsOfRequestsWithAKeyProveNothing checks that an early refusal of a
// request with a key does not claim that the work never ran: an earlier attempt may
// have run it.
func TestRefusalsOfRequestsWithAKeyProveNothing(t *testing.T) {
	r := newExecutorRouter(t, &delayedService{})
	for _, key := range []string{"", "k"} {
		request := httptest.NewRequest(http.MethodPost, "/v1/services/w/deposits", nil)
		request.Header.Set(keyHeader, key)
		want := map[string]code.Run{"": code.RunNo, "k": code.RunUnknown}[key]
		if got := code.Of(withRunUnknown(request, code.New(code.Draining, ""))).Run; got != want {
			t.Errorf("with the key %q a refusal says %q, want %q", key, got, want)
		}
		answer := httptest.NewRecorder()
		r.callersMux().ServeHTTP(answer, request)
		if answer.Code != code.Describe(code.NotReady).Status {
			t.Errorf("got status %d", answer.Code)
		}
	}
}
