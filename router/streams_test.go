package router

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/caller"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
	"cardamompoint.example/cardamompoint/internal/standin"
	"cardamompoint.example/cardamompoint/router/endpoint"
)

const pairTokenInterval = 100 * time.Millisecond

func newPairEngine() *standin.Engine {
	return standin.NewEngine(standin.EngineOptions{
		TokenInterval:   pairTokenInterval,
		CacheTokens:     standin.DefaultCacheTokens,
		StreamRetention: standin.DefaultStreamRetention,
	})
}

// askAndLeave requests an answer, reads its first three tokens and disconnects.
func (p *streamPair) askAndLeave(tokens int) *caller.Answer {
	p.t.Helper()
	ctx, leave := context.WithCancel(p.t.Context())
	answer := &caller.Answer{}
	answer.OnToken = func() {
		if len(answer.Tokens) == 3 {
			leave()
		}
	}
	if err := p.read(p.ask(ctx, pairCompletion(tokens)), answer); err == nil {
		p.t.Fatal("the answer was not left")
	}
	answer.OnToken = nil
	synctest.Wait()
	return answer
}

// resume asks for the rest of an answer after its third token.
func (p *streamPair) resume(answer *caller.Answer) *http.Response {
	p.t.Helper()
	response, err := p.caller.Get("http://" + pairCallers + "/v1/streams/" + answer.Stream + "?offset=3")
	if err != nil {
		p.t.Fatal(err)
	}
	return response
}

func wantTokens(tokens int) []string {
	completion := pairCompletion(tokens)
	return standin.Tokens("w", "c", completion.Prompt(), tokens)
}

// TestStreamOfLostCallerIsHeldAndThenCanceled checks that a stream runs on for the
// resume timeout after its caller disconnected, and is then canceled.
func TestStreamOfLostCallerIsHeldAndThenCanceled(t *testing.T) {
	engine := newPairEngine()
	runPair(t, engine.Handler(), func(p *streamPair) {
		p.askAndLeave(4000)
		hold := milliseconds(p.home.settings.Timing.ResumeMS)
		time.Sleep(hold - time.Second)
		if p.requestsAtHome() != 1 || engine.Load().Requests != 1 {
			p.t.Errorf("within the resume time %d are counted and %d run", p.requestsAtHome(), engine.Load().Requests)
		}
		time.Sleep(2 * time.Second)
		if p.requestsAtHome() != 0 || engine.Load().Requests != 0 || p.home.streams.Len() != 0 {
			p.t.Errorf("after the resume time %d are counted, %d run and %d are kept",
				p.requestsAtHome(), engine.Load().Requests, p.home.streams.Len())
		}
	})
}

// TestResumedStreamIsWholeAndCountedOnce resumes a stream through the entry router:
// no token may be missing, and the load must not be counted twice.
func TestResumedStreamIsWholeAndCountedOnce(t *testing.T) {
	const tokens = 200
	engine := newPairEngine()
	runPair(t, engine.Handler(), func(p *streamPair) {
		answer := p.askAndLeave(tokens)
		time.Sleep(5 * time.Second)
		response := p.resume(answer)
		if p.requestsAtHome() != 1 {
			p.t.Errorf("%d requests are counted", p.requestsAtHome())
		}
		if err := p.read(response, answer); err != nil || !slices.Equal(answer.Tokens, wantTokens(tokens)) {
			p.t.Errorf("%d tokens, %v", len(answer.Tokens), err)
		}
		synctest.Wait()
		if p.requestsAtHome() != 0 || p.home.streams.Len() != 0 {
			p.t.Errorf("%d requests are counted and %d streams kept", p.requestsAtHome(), p.home.streams.Len())
		}
	})
}

// TestResumedStreamReleasesEachTokenOnce resumes a stream: while it goes on, the tokens
// that remain must stay reserved at its home.
func TestResumedStreamReleasesEachTokenOnce(t *testing.T) {
	const tokens, until, buffered = 200, 100, 5
	engine := newPairEngine()
	runPair(t, engine.Handler(), func(p *streamPair) {
		answer := p.askAndLeave(tokens)
		time.Sleep(5 * time.Second)
		response := p.resume(answer)
		reserved := 0
		answer.OnToken = func() {
			if len(answer.Tokens) == until {
				_, reserved = p.home.loadTracker.Load(pairEngine)
			}
		}
		if err := p.read(response, answer); err != nil {
			p.t.Error(err)
		}
		if reserved < tokens-until-buffered || reserved > tokens-until+buffered {
			p.t.Errorf("%d tokens were reserved when %d remained", reserved, tokens-until)
		}
	})
}

// TestResumeOfUnknownStreamSaysHowToGoOn resumes a stream after it was canceled:
// the error must tell the caller that it can continue with a new request that has
// the delivered tokens as its prefix.
func TestResumeOfUnknownStreamSaysHowToGoOn(t *testing.T) {
	engine := newPairEngine()
	runPair(t, engine.Handler(), func(p *streamPair) {
		answer := p.askAndLeave(4000)
		time.Sleep(time.Hour)
		err := jsonhttp.Get(p.t.Context(), p.caller, "http://"+pairCallers+"/v1/streams/"+answer.Stream+"?offset=3", nil)
		if !code.Is(err, code.StreamLost) || code.Of(err).Run != code.RunPartial {
			p.t.Error(err)
		}
		p.exchangeHeartbeats()
		completion := pairCompletion(20)
		completion.Prefix = wantTokens(20)[:3]
		answer = &caller.Answer{Tokens: slices.Clone(completion.Prefix)}
		if err := p.read(p.ask(p.t.Context(), completion), answer); err != nil || !slices.Equal(answer.Tokens, wantTokens(20)) {
			p.t.Errorf("%d tokens, %v", len(answer.Tokens), err)
		}
	})
}

// TestWholeAnswerThatNobodyCanResumeIsCanceledAtOnce checks that the stream of an
// unstreamed request is canceled when its caller disconnects.
func TestWholeAnswerThatNobodyCanResumeIsCanceledAtOnce(t *testing.T) {
	engine := newPairEngine()
	runPair(t, engine.Handler(), func(p *streamPair) {
		completion := pairCompletion(4000)
		completion.Stream = false
		ctx, cancel := context.WithTimeout(p.t.Context(), time.Second)
		defer cancel()
		err := jsonhttp.Post(ctx, p.caller, "http://"+pairCallers+"/v1/chat/completions", completion, nil)
		synctest.Wait()
		if err == nil || p.requestsAtHome() != 0 || engine.Load().Requests != 0 {
			p.t.Errorf("%d are counted and %d run after %v", p.requestsAtHome(), engine.Load().Requests, err)
		}
	})
}

// pacedEngine returns an engine that sends tokens as fast as they are read, and
// counts them in sent.
func pacedEngine(sent *atomic.Int64) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", func(w http.ResponseWriter, r *http.Request) {
		var work endpoint.Work
		if err := jsonhttp.Read(w, r, 1<<20, &work); err != nil {
			return
		}
		control, encoder := http.NewResponseController(w), json.NewEncoder(w)
		for i, token := range standin.Tokens(work.Workspace, work.Chat, work.Prompt, work.MaxTokens) {
			line := endpoint.Line{RequestID: work.RequestID, StreamID: work.StreamID, Offset: i, Text: token}
			if encoder.Encode(line) != nil || control.Flush() != nil {
				return
			}
			sent.Add(1)
		}
		encoder.Encode(endpoint.Line{RequestID: work.RequestID, StreamID: work.StreamID, Final: &endpoint.Final{Tokens: work.MaxTokens}})
	})
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, endpoint.Load{})
	})
	mux.HandleFunc("DELETE /v1/streams/{stream}", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, struct{}{})
	})
	return mux
}

// TestSlowCallerHoldsBackItsOwnStreamOnly lets a caller stop reading for most of
// the stall timeout while another one reads. Each of the three hops may buffer
// hopBytes, and a line between routers has at least lineBytes.
func TestSlowCallerHoldsBackItsOwnStreamOnly(t *testing.T) {
	const (
		tokens    = 4000
		hops      = 3
		hopBytes  = 8 << 10
		lineBytes = 80
	)
	var sent atomic.Int64
	runPair(t, pacedEngine(&sent), func(p *streamPair) {
		slow := p.ask(p.t.Context(), pairCompletion(tokens))
		time.Sleep(20 * time.Second)
		synctest.Wait()
		ahead := sent.Load()
		p.t.Logf("%d tokens of %d are buffered for a caller that does not read", ahead, tokens)
		if ahead > hops*hopBytes/lineBytes {
			p.t.Errorf("%d tokens are buffered", ahead)
		}
		begin := time.Now()
		other := &caller.Answer{}
		if err := p.read(p.ask(p.t.Context(), pairCompletion(tokens)), other); err != nil || len(other.Tokens) != tokens {
			p.t.Errorf("another answer has %d tokens: %v", len(other.Tokens), err)
		}
		if waited := time.Since(begin); waited > 0 {
			p.t.Errorf("another answer waited %v", waited)
		}
		answer := &caller.Answer{}
		if err := p.read(slow, answer); err != nil || !slices.Equal(answer.Tokens, wantTokens(tokens)) {
			p.t.Errorf("the slow caller has %d tokens: %v", len(answer.Tokens), err)
		}
	})
}

// TestCallerThatStopsReadingIsAbandoned checks that a request ends at the entry router
// and at the home if its caller stops reading for good.
func TestCallerThatStopsReadingIsAbandoned(t *testing.T) {
	var sent atomic.Int64
	runPair(t, pacedEngine(&sent), func(p *streamPair) {
		response := p.ask(p.t.Context(), pairCompletion(4000))
		timing := p.home.settings.Timing
		time.Sleep(milliseconds(timing.StallMS+timing.ResumeMS) + time.Second)
		if p.requestsAtHome() != 0 || p.entry.inProgress.Load() != 0 {
			p.t.Errorf("%d requests are counted, %d in progress", p.requestsAtHome(), p.entry.inProgress.Load())
		}
		response.Body.Close()
	})
}
