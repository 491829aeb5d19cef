package router

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/endpoint"
)

// slowFailingEngine fails the first generation after a delay, without a token, and refuses the others.
type slowFailingEngine struct {
	endpoint.Engine

	delay  time.Duration
	starts atomic.Int64
}

func (e *slowFailingEngine) Generate(_ context.Context, _ string, _ endpoint.Work, _ endpoint.Sink) error {
	if e.starts.Add(1) > 1 {
		return code.New(code.EndpointFull, "the engine is full")
	}
	time.Sleep(e.delay)
	return code.New(code.EndpointFault, "the engine failed")
}

// TestChatThatFailedAtAnEngineIsNotToldAsNotRun guards against "not run" for a chat that engines had before the others refused it.
func TestChatThatFailedAtAnEngineIsNotToldAsNotRun(t *testing.T) {
	runCrashFleet(t, func(f *crashFleet) {
		engine := &slowFailingEngine{Engine: f.entry.engine, delay: time.Second}
		f.entry.engine, f.home.engine = engine, engine
		status, body := f.askWhole("c", "hello")
		if engine.starts.Load() < 2 || strings.Contains(body, string(code.RunNo)) {
			t.Errorf("%d engines had the chat, which got %d: %s", engine.starts.Load(), status, body)
		}
	})
}
