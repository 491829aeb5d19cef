package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/caller"
	"cardamompoint.example/cardamompoint/internal/standin"
	"cardamompoint.example/cardamompoint/router/api"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/source"
)

// streamLoad is a number of chats that are answered at the same time.
type streamLoad struct {
	fleet *testFleet
	// entries are the routers that callers ask first, counted from 1.
	entries []int
	// others are the routers that callers turn to after a loss.
	others []int
	chats  int
	tokens int

	begun   atomic.Int64
	running sync.WaitGroup
	mu      sync.Mutex
	counts  streamCounts
	faults  []string
	longest time.Duration
}

// streamCounts tell how the answers of a streamLoad ended.
type streamCounts struct {
	requests, whole, cut, doubled, foreign int
	// resumed and again count how often callers resumed a stream and asked again
	// with a prefix.
	resumed, again int
}

func (c streamCounts) String() string {
	return fmt.Sprintf("requests %d, whole answers %d, cut answers %d, doubled or lost tokens %d, foreign tokens %d, resumed %d, asked again %d",
		c.requests, c.whole, c.cut, c.doubled, c.foreign, c.resumed, c.again)
}

const (
	beginTokens  = 5
	callerTries  = 40
	callerPause  = 100 * time.Millisecond
	callerBudget = 50 * time.Second
)

// start asks all chats and returns when each answer has begun.
func (l *streamLoad) start() {
	l.fleet.t.Helper()
	for i := range l.chats {
		l.running.Go(func() { l.ask(i) })
	}
	l.fleet.eventually("all answers have begun", func() bool { return l.begun.Load() == int64(l.chats) })
}

// wait waits for all answers and returns how they ended.
func (l *streamLoad) wait() streamCounts {
	l.running.Wait()
	l.fleet.t.Logf("%v, longest time between two tokens %d ms", l.counts, l.longest.Milliseconds())
	for _, fault := range l.faults {
		l.fleet.t.Log(fault)
	}
	return l.counts
}

// ask asks one chat and goes on, as a caller should, until its answer is whole.
func (l *streamLoad) ask(i int) {
	ctx, cancel := context.WithTimeout(context.Background(), callerBudget)
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
		l.noteGap(len(answer.Tokens), time.Since(last))
		last = time.Now()
		if len(answer.Tokens) == beginTokens {
			l.begun.Add(1)
		}
	}
	counts := streamCounts{requests: 1}
	_, err := l.client(l.entries, i).Continue(ctx, completion, answer)
	lost := false
	for try := 0; err != nil && try < callerTries && ctx.Err() == nil; try++ {
		l.fault(i, answer, err)
		lost = lost || answer.Stream == "" || code.Is(err, code.StreamLost) || code.Is(err, code.UnknownStream)
		if lost {
			counts.again++
			_, err = l.client(l.others, i+try).Continue(ctx, completion, answer)
		} else {
			counts.resumed++
			_, err = l.client(l.others, i+try).Resume(ctx, answer)
		}
		lost = lost && err != nil
		if err != nil {
			time.Sleep(pauseAfter(err))
		}
	}
	l.count(counts, completion, answer, err)
}

// pauseAfter returns how long a caller waits before its next try: as long as the
// refusal says, if it says so.
func pauseAfter(err error) time.Duration {
	told := time.Duration(code.Of(err).RetryAfterMS) * time.Millisecond
	return max(callerPause, told)
}

// noteGap keeps the longest time between two tokens, for the log only.
func (l *streamLoad) noteGap(tokens int, gap time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if tokens > 1 {
		l.longest = max(l.longest, gap)
	}
}

func (l *streamLoad) client(routers []int, i int) *caller.Client {
	return l.fleet.client(routers[i%len(routers)])
}

func (l *streamLoad) fault(i int, answer *caller.Answer, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf("chat %d after %d tokens: %v", i, len(answer.Tokens), err))
	if strings.Contains(err.Error(), "in place of") {
		l.counts.doubled++
	}
}

func (l *streamLoad) count(counts streamCounts, completion api.CompletionRequest, answer *caller.Answer, err error) {
	want := standin.Tokens(completion.Workspace, completion.Chat, completion.Prompt(), completion.MaxTokens)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.requests += counts.requests
	l.counts.resumed += counts.resumed
	l.counts.again += counts.again
	for i, token := range answer.Tokens {
		if i >= len(want) || token != want[i] {
			l.counts.foreign++
		}
	}
	if err == nil && answer.Finished != nil && slices.Equal(want, answer.Tokens) {
		l.counts.whole++
		return
	}
	l.counts.cut++
}

// checkWhole fails the test unless each answer was whole and its caller's own.
func (l *streamLoad) checkWhole(counts streamCounts) {
	l.fleet.t.Helper()
	if counts.whole != l.chats || counts.cut+counts.doubled+counts.foreign != 0 {
		l.fleet.t.Errorf("want %d whole answers and no fault: %v", l.chats, counts)
	}
}

// engineLoads returns the streams that run at the engines and how often one
// was started there. Engines that do not answer are passed over.
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

// checkNoneRunning waits until no stream is left at any engine.
func (f *testFleet) checkNoneRunning() {
	f.t.Helper()
	f.eventually("no stream is left running", func() bool {
		running, _ := f.engineLoads()
		return running == 0
	})
	f.t.Log("streams left running 0")
}

// homeLoads returns the requests that the routers count at engines.
func (f *testFleet) homeLoads() int {
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
