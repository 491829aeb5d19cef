package endpoint_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/standin"
	"cardamompoint.example/cardamompoint/router/endpoint"
)

const (
	engineAddress  = "10.0.0.1:1"
	silenceTimeout = 5 * time.Second
	stallTimeout   = 30 * time.Second
	// handlerTimeout is longer than any sleep of a script.
	handlerTimeout = time.Minute
)

// testEngine serves scripted answers on an in-memory network.
type testEngine struct {
	net      *standin.PipeNet
	client   *endpoint.EngineClient
	requests atomic.Int64
	tokens   int
	gaps     []time.Duration
}

// runEngine runs test in virtual time with an engine that answers each request
// with script.
func runEngine(t *testing.T, script func(*lineScript), test func(*testing.T, *testEngine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e := &testEngine{net: standin.NewPipeNet()}
		stop := e.net.Serve(engineAddress, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			e.requests.Add(1)
			io.Copy(io.Discard, r.Body)
			script(&lineScript{w: w, r: r})
		}))
		transport := e.net.Transport()
		e.client = endpoint.NewEngineClient(transport, silenceTimeout, stallTimeout)
		test(t, e)
		transport.CloseIdleConnections()
		stop()
		time.Sleep(handlerTimeout)
	})
}

// generate sends a request to the engine and counts the tokens received.
func (e *testEngine) generate(ctx context.Context) error {
	e.tokens = 0
	last := time.Now()
	return e.client.Generate(ctx, engineAddress, endpoint.Work{RequestID: "r", StreamID: "s"}, func(line endpoint.Line) error {
		if line.Text != "" {
			e.tokens++
			e.gaps = append(e.gaps, time.Since(last))
			last = time.Now()
		}
		return nil
	})
}

// lineScript writes the lines of one answer.
type lineScript struct {
	w    http.ResponseWriter
	r    *http.Request
	next int
}

func (s *lineScript) line(line endpoint.Line) {
	raw, _ := json.Marshal(line)
	s.w.Write(append(raw, '\n'))
	http.NewResponseController(s.w).Flush()
}

func (s *lineScript) tokens(n int) {
	for range n {
		s.line(endpoint.Line{RequestID: "r", StreamID: "s", Offset: s.next, Text: "t"})
		s.next++
	}
}

func (s *lineScript) emptyLine() {
	s.line(endpoint.Line{RequestID: "r", StreamID: "s", Offset: s.next})
}

func (s *lineScript) final() {
	s.line(endpoint.Line{RequestID: "r", StreamID: "s", Offset: s.next, Final: &endpoint.Final{Tokens: s.next}})
}

// partOfALine writes the beginning of a line.
func (s *lineScript) partOfALine() {
	io.WriteString(s.w, `{"offset`)
	http.NewResponseController(s.w).Flush()
}

func (s *lineScript) hang() { <-s.r.Context().Done() }

func TestSilenceIsAConnectionError(t *testing.T) {
	script := func(s *lineScript) {
		s.tokens(3)
		s.hang()
	}
	runEngine(t, script, func(t *testing.T, e *testEngine) {
		begin := time.Now()
		err := e.generate(t.Context())
		if !endpoint.IsConnectionError(err) || !code.Is(err, code.EndpointFault) || e.tokens != 3 {
			t.Errorf("%d tokens, then %v", e.tokens, err)
		}
		if waited := time.Since(begin); waited != silenceTimeout {
			t.Errorf("abandoned after %v", waited)
		}
	})
}

func TestCanceledCallIsNoConnectionError(t *testing.T) {
	script := func(s *lineScript) {
		s.tokens(3)
		s.hang()
	}
	runEngine(t, script, func(t *testing.T, e *testEngine) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := e.generate(ctx); endpoint.IsConnectionError(err) || !code.Is(err, code.DeadlineExceeded) {
			t.Error(err)
		}
		ctx, cancel = context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		if err := e.generate(ctx); endpoint.IsConnectionError(err) || !code.Is(err, code.Canceled) {
			t.Error(err)
		}
	})
}

// TestFailedReadWithinALineIsReported guards against a call that ends within a line and counts as one that answers a malformed line, or, if
// its caller has left, as a lost connection.
func TestFailedReadWithinALineIsReported(t *testing.T) {
	script := func(s *lineScript) {
		s.tokens(3)
		s.partOfALine()
		s.hang()
	}
	runEngine(t, script, func(t *testing.T, e *testEngine) {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		if err := e.generate(ctx); endpoint.IsConnectionError(err) || !code.Is(err, code.Canceled) || e.tokens != 3 {
			t.Errorf("canceled after %d tokens: %v", e.tokens, err)
		}
		if err := e.generate(t.Context()); !endpoint.IsConnectionError(err) || !strings.Contains(err.Error(), "no line in time") {
			t.Errorf("silent after %d tokens: %v", e.tokens, err)
		}
	})
}

func TestEmptyLinesPreventSilenceTimeout(t *testing.T) {
	script := func(s *lineScript) {
		for range 25 {
			s.emptyLine()
			time.Sleep(time.Second)
		}
		s.tokens(2)
		s.final()
	}
	runEngine(t, script, func(t *testing.T, e *testEngine) {
		if err := e.generate(t.Context()); err != nil || e.tokens != 2 {
			t.Errorf("%d tokens, %v", e.tokens, err)
		}
	})
}

func TestEngineWithoutTokensIsAbandoned(t *testing.T) {
	script := func(s *lineScript) {
		s.tokens(1)
		for s.r.Context().Err() == nil {
			s.emptyLine()
			time.Sleep(time.Second)
		}
	}
	runEngine(t, script, func(t *testing.T, e *testEngine) {
		begin := time.Now()
		err := e.generate(t.Context())
		if endpoint.IsConnectionError(err) || !code.Is(err, code.EndpointFault) {
			t.Error(err)
		}
		if waited := time.Since(begin); waited < stallTimeout || waited > stallTimeout+time.Second {
			t.Errorf("the answer was abandoned after %v", waited)
		}
	})
}

func TestSlowSinkDoesNotCountAsSilence(t *testing.T) {
	script := func(s *lineScript) {
		s.tokens(20)
		s.final()
	}
	runEngine(t, script, func(t *testing.T, e *testEngine) {
		err := e.client.Generate(t.Context(), engineAddress, endpoint.Work{RequestID: "r", StreamID: "s"}, func(endpoint.Line) error {
			time.Sleep(time.Minute)
			return nil
		})
		if err != nil {
			t.Error(err)
		}
	})
}

// TestSlowSinkHoldsBackTheEngine checks that a slow sink applies backpressure: it
// counts how much an engine can send while the sink blocks on the first token.
func TestSlowSinkHoldsBackTheEngine(t *testing.T) {
	const (
		tokens      = 100_000
		bufferBytes = 32 << 10
	)
	var sent atomic.Int64
	script := func(s *lineScript) {
		for range tokens {
			s.tokens(1)
			sent.Add(1)
		}
		s.final()
	}
	runEngine(t, script, func(t *testing.T, e *testEngine) {
		line, err := json.Marshal(endpoint.Line{RequestID: "r", StreamID: "s", Text: "t"})
		if err != nil {
			t.Fatal(err)
		}
		enough := errors.New("enough")
		err = e.client.Generate(t.Context(), engineAddress, endpoint.Work{RequestID: "r", StreamID: "s"}, func(endpoint.Line) error {
			time.Sleep(time.Hour)
			synctest.Wait()
			return enough
		})
		ahead := int(sent.Load()) * len(line)
		t.Logf("the engine was %d bytes ahead of a sink that blocked for an hour", ahead)
		if !errors.Is(err, enough) || ahead > bufferBytes {
			t.Errorf("%d bytes are buffered, %v", ahead, err)
		}
	})
}

func TestWholeAnswersShareAConnection(t *testing.T) {
	script := func(s *lineScript) {
		s.tokens(3)
		s.final()
	}
	runEngine(t, script, func(t *testing.T, e *testEngine) {
		for range 5 {
			if err := e.generate(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		if dials := e.net.Dials.Load(); dials != 1 {
			t.Errorf("%d connections for 5 answers", dials)
		}
	})
}

// TestUnreadAnswersNeverShareAConnection aborts answers in several ways. If the
// connection were reused, the next request would read the rest of such an answer.
func TestUnreadAnswersNeverShareAConnection(t *testing.T) {
	for name, fault := range map[string]func(*lineScript){
		"a line of another request": func(s *lineScript) { s.line(endpoint.Line{RequestID: "other", StreamID: "s", Text: "t"}) },
		"a line of another stream":  func(s *lineScript) { s.line(endpoint.Line{RequestID: "r", StreamID: "other", Text: "t"}) },
		"a gap":                     func(s *lineScript) { s.line(endpoint.Line{RequestID: "r", StreamID: "s", Offset: 7, Text: "t"}) },
		"no JSON":                   func(s *lineScript) { fmt.Fprintln(s.w, "{") },
		"lines after the final one": func(s *lineScript) { s.final(); s.tokens(1) },
	} {
		t.Run(name, func(t *testing.T) {
			answers := 0
			script := func(s *lineScript) {
				answers++
				s.tokens(2)
				if answers == 1 {
					fault(s)
				}
				s.tokens(2)
				s.final()
			}
			runEngine(t, script, func(t *testing.T, e *testEngine) {
				e.generate(t.Context())
				if err := e.generate(t.Context()); err != nil || e.tokens != 4 {
					t.Errorf("the next answer has %d tokens: %v", e.tokens, err)
				}
				if dials := e.net.Dials.Load(); dials != 2 {
					t.Errorf("%d connections", dials)
				}
			})
		})
	}
}

// TestNoRequestIsRepeatedByTheTransport guards against retries by http.Transport:
// the engine closes a reused connection after it has received the request, and
// must not receive the request again.
func TestNoRequestIsRepeatedByTheTransport(t *testing.T) {
	requests := 0
	script := func(s *lineScript) {
		requests++
		if requests > 1 {
			panic(http.ErrAbortHandler)
		}
		s.final()
	}
	runEngine(t, script, func(t *testing.T, e *testEngine) {
		if err := e.generate(t.Context()); err != nil {
			t.Fatal(err)
		}
		err := e.generate(t.Context())
		if !endpoint.IsConnectionError(err) || code.Of(err).Run == code.RunNo {
			t.Errorf("a request that the engine may have received is reported as %v", err)
		}
		if e.requests.Load() != 2 {
			t.Errorf("the engine received %d requests for 2 calls", e.requests.Load())
		}
	})
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	runEngine(t, func(*lineScript) {}, func(t *testing.T, e *testEngine) {
		err := e.client.Generate(t.Context(), "10.0.0.2:1", endpoint.Work{}, nil)
		if !endpoint.IsConnectionError(err) || code.Of(err).Run != code.RunNo {
			t.Error(err)
		}
	})
}
