package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/caller"
	"cardamompoint.example/cardamompoint/internal/standin"
	"cardamompoint.example/cardamompoint/router/api"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/source"
)

// streamLoad runs a number of concurrent chats.
type streamLoad struct {
	fleet *testFleet
	// entries are the numbers of the routers that callers use first, starting at 1.
	entries []int
	// fallbacks are the numbers of the routers that callers use after a failure.
	fallbacks []int
	chats     int
	tokens    int

	started    atomic.Int64
	running    sync.WaitGroup
	mu         sync.Mutex
	counts     streamCounts
	failures   []string
	longestGap time.Duration
}

// streamCounts counts how the answers of a streamLoad ended.
type streamCounts struct {
	requests, complete, truncated, duplicated, wrong int
	// resumed counts the streams that callers resumed, restarted the requests that they sent
	// again with the tokens so far as a prefix.
	resumed, restarted int
}

func (c streamCounts) String() string {
	return fmt.Sprintf("requests %d, complete answers %d, truncated answers %d, duplicated or lost tokens %d, wrong tokens %d, resumed %d, restarted %d",
		c.requests, c.complete, c.truncated, c.duplicated, c.wrong, c.resumed, c.restarted)
}

const (
	startedTokens    = 5
	maxCallerRetries = 40
	minRetryDelay    = 100 * time.Millisecond
	callerTimeout    = 50 * time.Second
)

// start starts all chats and returns once each has delivered startedTokens tokens.
func (l *streamLoad) start() {
	l.fleet.t.Helper()
	for i := range l.chats {
		l.running.Go(func() { l.ask(i) })
	}
	l.fleet.eventually("all answers have started", func() bool { return l.started.Load() == int64(l.chats) })
}

// wait waits for all answers and returns how they ended.
func (l *streamLoad) wait() streamCounts {
	l.running.Wait()
	l.fleet.t.Logf("%v, longest time between two tokens %d ms", l.counts, l.longestGap.Milliseconds())
	for _, failure := range l.failures {
		l.fleet.t.Log(failure)
	}
	return l.counts
}

// ask runs one chat. After a failure it resumes or restarts the answer, as a caller should,
// until the answer is complete.
func (l *streamLoad) ask(i int) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	completion := api.CompletionRequest{
		Workspace: "head-office",
		Chat:      fmt.Sprintf("chat-%d", i),
		MaxTokens: l.tokens,
		Messages:  []api.Message{{Role: "user", Content: "a roster"}},
	}
	answer := &caller.Answer{}
	last := time.Now()
	answer.OnToken = func() {
		l.recordGap(len(answer.Tokens), time.Since(last))
		last = time.Now()
		if len(answer.Tokens) == startedTokens {
			l.started.Add(1)
		}
	}
	counts := streamCounts{requests: 1}
	_, err := l.client(l.entries, i).Continue(ctx, completion, answer)
	lost := false
	for try := 0; err != nil && try < maxCallerRetries && ctx.Err() == nil; try++ {
		l.recordFailure(i, answer, err)
		lost = lost || answer.Stream == "" || code.Is(err, code.StreamLost) || code.Is(err, code.UnknownStream)
		if lost {
			counts.restarted++
			_, err = l.client(l.fallbacks, i+try).Continue(ctx, completion, answer)
		} else {
			counts.resumed++
			_, err = l.client(l.fallbacks, i+try).Resume(ctx, answer)
		}
		lost = lost && err != nil
		if err != nil {
			time.Sleep(retryDelay(err))
		}
	}
	l.recordResult(counts, completion, answer, err)
}

// retryDelay returns how long a caller waits before its next try: as long as the error asks
// for, but at least minRetryDelay.
func retryDelay(err error) time.Duration {
	retryAfter := time.Duration(code.Of(err).RetryAfterMS) * time.Millisecond
	return max(minRetryDelay, retryAfter)
}

// recordGap records the longest time between two tokens, for the log only.
func (l *streamLoad) recordGap(tokens int, gap time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if tokens > 1 {
		l.longestGap = max(l.longestGap, gap)
	}
}

func (l *streamLoad) client(routers []int, i int) *caller.Client {
	return l.fleet.client(routers[i%len(routers)])
}

func (l *streamLoad) recordFailure(i int, answer *caller.Answer, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, fmt.Sprintf("chat %d after %d tokens: %v", i, len(answer.Tokens), err))
	if strings.Contains(err.Error(), "in place of") {
		l.counts.duplicated++
	}
}

func (l *streamLoad) recordResult(counts streamCounts, completion api.CompletionRequest, answer *caller.Answer, err error) {
	want := standin.Tokens(completion.Workspace, completion.Chat, completion.Prompt(), completion.MaxTokens)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.requests += counts.requests
	l.counts.resumed += counts.resumed
	l.counts.restarted += counts.restarted
	for i, token := range answer.Tokens {
		if i >= len(want) || token != want[i] {
			l.counts.wrong++
		}
	}
	if err == nil && answer.Finished != nil && slices.Equal(want, answer.Tokens) {
		l.counts.complete++
		return
	}
	l.counts.truncated++
}

// checkComplete fails the test unless each caller received its complete, own answer.
func (l *streamLoad) checkComplete(counts streamCounts) {
	l.fleet.t.Helper()
	if counts.complete != l.chats || counts.truncated+counts.duplicated+counts.wrong != 0 {
		l.fleet.t.Errorf("want %d complete answers and no fault: %v", l.chats, counts)
	}
}

// checkStartedOnce checks that each chat's stream was started at one engine only.
func (l *streamLoad) checkStartedOnce() {
	l.fleet.t.Helper()
	if _, starts := l.fleet.engineLoads(); starts != l.chats {
		l.fleet.t.Errorf("%d streams were started for %d requests", starts, l.chats)
	}
}

// checkUnnoticed checks that no caller had to resume or restart a stream.
func (c streamCounts) checkUnnoticed(t testing.TB, fault string) {
	t.Helper()
	if c.resumed+c.restarted != 0 {
		t.Errorf("callers noticed %s", fault)
	}
}

// engineLoads returns the number of streams that run at the engines, and the number of
// streams started there so far. It skips killed engines.
func (f *testFleet) engineLoads() (running, starts int) {
	for n := 1; n <= f.count(source.RoleEngine); n++ {
		if f.processes[fmt.Sprintf("engine-%d", n)] == nil {
			continue
		}
		var load endpoint.Load
		f.get(f.engineAddress(n), "/v1/load", &load)
		running += load.Requests
		var runs map[string]int
		f.get(f.engineAddress(n), "/test/runs", &runs)
		for _, count := range runs {
			starts += count
		}
	}
	return running, starts
}

// checkNoneRunning waits until no engine runs a stream.
func (f *testFleet) checkNoneRunning() {
	f.t.Helper()
	f.eventually("no stream is left running", func() bool {
		running, _ := f.engineLoads()
		return running == 0
	})
	f.t.Log("streams left running 0")
}

// countedRequests returns the number of requests that the routers count at their engines.
func (f *testFleet) countedRequests() int {
	total := 0
	for n := range f.settings {
		if f.processes[fmt.Sprintf("router-%d", n+1)] == nil {
			continue
		}
		status, err := f.status(n + 1)
		f.must(err)
		for _, engine := range status.Engines {
			total += engine.Requests
		}
	}
	return total
}
