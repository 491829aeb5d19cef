package router

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/clock/clocktest"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/once"
	"cardamompoint.example/cardamompoint/router/template"
)

// drainPastLinger starts the shutdown of r and waits until the linger time has ended.
func drainPastLinger(t *testing.T, r *Router) {
	t.Helper()
	go r.drain(t.Context())
	time.Sleep(milliseconds(r.settings.Timing.LingerMS) + 2*milliseconds(r.settings.Timing.HeartbeatMS))
}

// TestRetryOfCallDoesNotBeginLate guards against a call that is sent to a second worker so late in a shutdown that it is cut.
func TestRetryOfCallDoesNotBeginLate(t *testing.T) {
	for _, test := range []struct {
		timeout time.Duration
		calls   int
	}{{2 * time.Minute, 0}, {20 * time.Second, 1}} {
		synctest.Test(t, func(t *testing.T) {
			clocktest.UseVirtualTime(t)
			service := &delayedService{sleep: 10 * time.Second}
			r := newExecutorRouter(t, service)
			go r.drain(t.Context())
			ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
			defer cancel()
			_, err := r.callIdempotent(ctx, template.Route{Service: "booking"}, endpoint.Call{RequestID: "r"})
			if service.calls != test.calls || test.calls == 0 && (!code.Is(err, code.Draining) || code.Of(err).Run != code.RunNo) {
				t.Errorf("with a timeout of %s %d workers served the call: %v", test.timeout, service.calls, err)
			}
			time.Sleep(2 * time.Minute)
		})
	}
}

// TestWorkForPeersDoesNotBeginLate guards against work under a ticket or a key that a peer hands over late in a shutdown and that is cut.
func TestWorkForPeersDoesNotBeginLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.UseVirtualTime(t)
		service := &delayedService{}
		r := newExecutorRouter(t, service)
		drainPastLinger(t, r)
		outcome, err := r.serveExecute(t.Context(), execution{Ticket: r.testTicket(), Service: "booking", DeadlineMS: 1000})
		if err != nil || outcome.Error == nil || outcome.Error.Code != code.NotSent {
			t.Errorf("a ticket got %+v, %v", outcome, err)
		}
		key := once.CallerKey{Workspace: "w", ID: "k", IssuedMS: time.Now().UnixMilli()}
		order := callerKeyExecution{Key: key, Service: "booking", DeadlineMS: 1000}
		outcome, err = r.serveCallerKeyExecute(t.Context(), order)
		if err != nil || outcome.Error == nil || outcome.Error.Code != code.Draining || outcome.Error.Run != code.RunUnknown {
			t.Errorf("a key got %+v, %v", outcome, err)
		}
		if record := r.records.Find(order.Key.Name()); record != nil {
			t.Error("the key is held")
		}
		if service.calls != 0 {
			t.Errorf("%d calls were sent", service.calls)
		}
		time.Sleep(2 * time.Minute)
	})
}

// TestRetryOfChatDoesNotBeginLate guards against a chat that is sent to a second engine so late in a shutdown that it is cut.
func TestRetryOfChatDoesNotBeginLate(t *testing.T) {
	runCrashFleet(t, func(f *crashFleet) {
		engine := &slowFailingEngine{Engine: f.entry.engine, delay: 10 * time.Second}
		f.entry.engine, f.home.engine = engine, engine
		f.asked++
		go f.entry.drain(f.t.Context())
		status, body := f.askWhole("c", "hello")
		if status != http.StatusServiceUnavailable || !strings.Contains(body, `"draining"`) || !strings.Contains(body, string(code.RunPartial)) {
			t.Errorf("the chat got %d: %s", status, body)
		}
		if starts := engine.starts.Load(); starts != 1 {
			t.Errorf("the chat was sent to %d engines", starts)
		}
	})
}
