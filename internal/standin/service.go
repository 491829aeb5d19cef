package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/internal/jsonhttp"
	"cardamompoint.example/cardamompoint/router/endpoint"
)

// ServiceOptions holds the options of a Service.
type ServiceOptions struct {
	// Delay is the duration of a call.
	Delay time.Duration
	// CheckFence reports whether the service rejects calls with a fencing token lower than one
	// that it has seen for the same work.
	CheckFence bool
}

// Service is a stand-in for a plain service. It counts every execution and does not deduplicate
// requests. It is safe for concurrent use.
type Service struct {
	options ServiceOptions

	mu            sync.Mutex
	runsByRequest map[string]int
	runsByBody    map[string]int
	// fenceByWork is the highest fencing token seen, by key digest.
	fenceByWork map[string]int64
	inProgress  int
}

// NewService returns a Service with the given options.
func NewService(options ServiceOptions) *Service {
	return &Service{options: options, runsByRequest: map[string]int{}, runsByBody: map[string]int{}, fenceByWork: map[string]int64{}}
}

// ServiceResponse is the body of a Service's responses.
type ServiceResponse struct {
	// Method is the method of the call.
	Method string `json:"method"`
	// Path is the path of the call.
	Path string `json:"path"`
	// Workspace is the workspace that made the call.
	Workspace string `json:"workspace"`
	// Run counts the executions of a POST with this body at this endpoint; 0 for other methods.
	Run int `json:"run"`
}

// ServiceRuns holds the number of executions that a Service has counted.
type ServiceRuns struct {
	// Requests counts executions by request ID.
	Requests map[string]int `json:"requests"`
	// Bodies counts executions of POST calls by body.
	Bodies map[string]int `json:"bodies"`
}

// Handler returns the HTTP API of the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		load := endpoint.Load{Requests: s.inProgress}
		s.mu.Unlock()
		jsonhttp.Write(w, load)
	})
	mux.HandleFunc("GET /test/runs", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, s.Runs())
	})
	mux.HandleFunc("/", s.serveCall)
	return mux
}

// Runs returns the number of executions.
func (s *Service) Runs() ServiceRuns {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := ServiceRuns{Requests: map[string]int{}, Bodies: map[string]int{}}
	for id, count := range s.runsByRequest {
		runs.Requests[id] = count
	}
	for body, count := range s.runsByBody {
		runs.Bodies[body] = count
	}
	return runs
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	requestID := r.Header.Get(endpoint.RequestHeader)
	if s.options.CheckFence && !s.checkFence(r.Header) {
		w.Header().Set(endpoint.RequestHeader, requestID)
		w.WriteHeader(http.StatusConflict)
		return
	}
	run := s.count(r.Method, requestID, string(body))
	time.Sleep(s.options.Delay)
	s.mu.Lock()
	s.inProgress--
	s.mu.Unlock()
	w.Header().Set(endpoint.RequestHeader, requestID)
	jsonhttp.Write(w, ServiceResponse{
		Method:    r.Method,
		Path:      r.URL.Path,
		Workspace: r.Header.Get(endpoint.WorkspaceHeader),
		Run:       run,
	})
}

// checkFence reports whether the fencing token of the call is at least as high as those seen
// for the same work. It records the token.
func (s *Service) checkFence(header http.Header) bool {
	fence, _ := strconv.ParseInt(header.Get(endpoint.FenceHeader), 10, 64)
	work := header.Get(endpoint.KeyDigestHeader)
	s.mu.Lock()
	defer s.mu.Unlock()
	if work == "" {
		return true
	}
	if fence < s.fenceByWork[work] {
		return false
	}
	s.fenceByWork[work] = fence
	return true
}

// count records an execution. It returns the number of executions of a POST with this body, 0
// for other methods.
func (s *Service) count(method, requestID, body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inProgress++
	s.runsByRequest[requestID]++
	if method != http.MethodPost {
		return 0
	}
	s.runsByBody[body]++
	return s.runsByBody[body]
}
