package router

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/endpoint"
)

// countingEngine simulates all engines and counts their concurrent requests.
type countingEngine struct {
	endpoint.Engine

	fail atomic.Bool

	mu     sync.Mutex
	counts map[string]int
	starts int
	peak   int
}

func (e *countingEngine) add(address string, change int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts[address] += change
	e.peak = max(e.peak, e.counts[address])
	e.starts += max(0, change)
}

func (e *countingEngine) Generate(_ context.Context, address string, work endpoint.Work, sink endpoint.Sink) error {
	e.add(address, 1)
	defer e.add(address, -1)
	if e.fail.Load() {
		return code.New(code.EndpointFault, "the engine fails")
	}
	time.Sleep(splitFleetServiceTime)
	line := endpoint.Line{RequestID: work.RequestID, StreamID: work.StreamID}
	line.Final = &endpoint.Final{}
	return sink(line)
}

func (e *countingEngine) Cancel(context.Context, string, string) error { return nil }

func (e *countingEngine) Load(_ context.Context, address string) (endpoint.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return endpoint.Load{Requests: e.counts[address], Tokens: e.counts[address]}, nil
}
