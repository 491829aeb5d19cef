package router

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/clock/clocktest"
	"cardamompoint.example/cardamompoint/router/endpoint"
)

// endlessService answers no call before its context ends.
type endlessService struct{ endpoint.Service }

func (endlessService) Call(ctx context.Context, _ string, _ endpoint.Call) (endpoint.Answer, error) {
	<-ctx.Done()
	return endpoint.Answer{}, code.New(code.DeadlineExceeded, "the call took too long")
}

// TestDrainEndsWithWorkForAPeerInProgress guards against a shutdown that waits for more than its drain time, or that tells nothing of what it cuts.
func TestDrainEndsWithWorkForAPeerInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.UseVirtualTime(t)
		r := newExecutorRouter(t, endlessService{})
		order := execution{Ticket: r.testTicket(), Service: "booking", DeadlineMS: time.Hour.Milliseconds()}
		go func() { _, _ = r.serveExecute(t.Context(), order) }()
		synctest.Wait()
		timing := r.settings.Timing
		began := time.Now()
		r.drain(t.Context())
		least := milliseconds(timing.LingerMS + timing.DrainMS)
		most := least + milliseconds(timing.HeartbeatMS) + 2*drainPollPeriod
		if took := time.Since(began); took < least || took > most {
			t.Errorf("the drain took %s, want %s to %s", took, least, most)
		}
		if err := r.close(); !code.Is(err, code.Draining) {
			t.Errorf("one execution is cut, but the end says %v", err)
		}
		time.Sleep(milliseconds(timing.RequestMS))
	})
}
