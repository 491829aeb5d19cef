package standin

import (
	"cmp"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/contextcache"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
	"cardamompoint.example/cardamompoint/router/endpoint"
)

// EngineOptions holds the options of an Engine.
type EngineOptions struct {
	// TokenInterval is the time between two tokens.
	TokenInterval time.Duration
	// CacheTokens is the capacity of the prefix cache, in tokens.
	CacheTokens int
	// StreamRetention is how long a finished or abandoned stream can be resumed.
	StreamRetention time.Duration
	// CheckFence reports whether the engine rejects orders with an outdated fencing token.
	CheckFence bool
	// KeepAliveInterval is the interval between two empty lines while no token is generated.
	KeepAliveInterval time.Duration
	// FirstTokenDelay is the delay of the first token.
	FirstTokenDelay time.Duration
}

// Engine is a stand-in for a model engine. It generates tokens at a fixed rate, keeps the
// contexts of chats in a bounded cache, and supports resuming and canceling streams. It is safe
// for concurrent use.
type Engine struct {
	options EngineOptions
	orders  *Orders

	mu      sync.Mutex
	streams map[string]*engineStream
	cache   *contextcache.Cache[chatKey]
	leaving bool
	runs    map[string]int
}

// chatKey identifies a chat of a workspace.
type chatKey struct {
	workspace string
	chat      string
}

// NewEngine returns an Engine with the given options.
func NewEngine(options EngineOptions) *Engine {
	return &Engine{
		options: options,
		orders:  NewOrders(options.CheckFence),
		streams: map[string]*engineStream{},
		cache:   contextcache.New[chatKey](options.CacheTokens),
		runs:    map[string]int{},
	}
}

// Handler returns the HTTP API of the engine.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	e.orders.RegisterHandlers(mux)
	mux.HandleFunc("POST /v1/generate", e.serveGenerate)
	mux.HandleFunc("GET /v1/streams/{stream}", e.serveResume)
	mux.HandleFunc("DELETE /v1/streams/{stream}", e.serveCancel)
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, e.Load())
	})
	mux.HandleFunc("POST /test/leave", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		e.leaving = true
		e.mu.Unlock()
		jsonhttp.Write(w, struct{}{})
	})
	mux.HandleFunc("GET /test/runs", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, e.Runs())
	})
	return mux
}

// Runs returns how often each request was started, by request ID.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[string]int, len(e.runs))
	for id, count := range e.runs {
		runs[id] = count
	}
	return runs
}

// Load returns the current load report of the engine.
func (e *Engine) Load() endpoint.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := endpoint.Load{Leaving: e.leaving}
	for _, s := range e.streams {
		if left := s.remaining(); left > 0 {
			load.Requests++
			load.Tokens += left
		}
	}
	return load
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var work endpoint.Work
	if err := jsonhttp.Read(w, r, maxBodyBytes, &work); err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	s, err := e.start(work)
	if err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	e.writeStream(w, r, s, len(work.Prefix))
}

// start starts a stream. The stream continues if the connection is lost, so that it can be
// resumed.
func (e *Engine) start(work endpoint.Work) (*engineStream, error) {
	if !e.orders.Serves(work.Model) {
		return nil, code.New(code.ModelNotLoaded, "the model %q is not loaded", work.Model)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return nil, code.New(code.EndpointLeaving, "the engine is leaving")
	}
	if _, ok := e.streams[work.StreamID]; ok {
		return nil, code.New(code.BadRequest, "the stream %q already exists", work.StreamID)
	}
	prompt := PromptTokens(work.Prompt)
	chat := chatKey{workspace: work.Workspace, chat: work.Chat}
	s := newEngineStream(work, prompt, min(prompt, e.cache.Tokens(chat)))
	e.cache.Use(chat, prompt+work.MaxTokens)
	e.streams[work.StreamID] = s
	e.runs[work.RequestID]++
	go e.generate(s)
	return s, nil
}

func (e *Engine) generate(s *engineStream) {
	time.Sleep(e.options.FirstTokenDelay)
	for s.advance() {
		time.Sleep(e.options.TokenInterval)
	}
	time.AfterFunc(e.options.StreamRetention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.streams, s.work.StreamID)
	})
}

func (e *Engine) find(streamID string) *engineStream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[streamID]
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	s := e.find(r.PathValue("stream"))
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if s == nil || err != nil {
		jsonhttp.WriteError(w, code.New(code.UnknownStream, "the engine has no such stream"))
		return
	}
	e.writeStream(w, r, s, offset)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if s := e.find(r.PathValue("stream")); s != nil {
		s.cancel()
	}
	jsonhttp.Write(w, struct{}{})
}

// writeStream sends the tokens from offset on as JSON lines. It sends an empty line at once,
// and whenever no token is generated for the keep-alive interval.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, s *engineStream, offset int) {
	control := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	keepAlive := time.NewTicker(cmp.Or(e.options.KeepAliveInterval, DefaultKeepAliveInterval))
	defer keepAlive.Stop()
	idle := true
	for {
		line, wait, done := s.line(offset)
		if wait == nil || idle {
			if encoder.Encode(line) != nil || control.Flush() != nil || done {
				return
			}
		}
		idle = false
		if wait == nil {
			offset++
			continue
		}
		select {
		case <-wait:
		case <-keepAlive.C:
			idle = true
		case <-r.Context().Done():
			return
		}
	}
}
