package router

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
	"cardamompoint.example/cardamompoint/rank"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/member"
	"cardamompoint.example/cardamompoint/router/template"
)

// Headers of calls to plain services.
const (
	keyHeader       = "Idempotency-Key"
	requestIDHeader = "X-Request-Id"
	endpointHeader  = "X-Endpoint"
)

// serveService handles /v1/services/{workspace}/{path...}.
func (r *Router) serveService(w http.ResponseWriter, request *http.Request) {
	requestID := uuid.NewString()
	answer, err := r.callService(w, request, requestID)
	r.logResult(requestID, err)
	if err != nil {
		r.writeError(w, withRequestID(err, requestID))
		return
	}
	r.metrics.CountResult(code.OK)
	writeAnswer(w, requestID, answer)
}

// writeAnswer writes the answer of an endpoint to the caller.
func writeAnswer(w http.ResponseWriter, requestID string, answer *endpoint.Answer) {
	if answer.ContentType != "" {
		w.Header().Set("Content-Type", answer.ContentType)
	}
	w.Header().Set(requestIDHeader, requestID)
	w.Header().Set(endpointHeader, answer.Endpoint)
	w.WriteHeader(answer.Status)
	w.Write(answer.Body)
}

// serviceCall is a caller's call and the route that its template assigns to it.
type serviceCall struct {
	route template.Route
	call  endpoint.Call
}

// callService validates a request and calls the service that its template names:
// idempotent calls with retries, others at most once.
func (r *Router) callService(w http.ResponseWriter, request *http.Request, requestID string) (*endpoint.Answer, error) {
	s, err := r.newServiceCall(w, request, requestID)
	if err != nil {
		return nil, withRunUnknown(request, err)
	}
	ctx, cancel := context.WithTimeout(request.Context(), r.requestTimeout(s.route.TimeoutMS))
	defer cancel()
	if !s.route.Idempotent {
		return r.callOnce(ctx, s.route.Service, s.call, request.Header.Get(keyHeader))
	}
	return r.callIdempotent(ctx, s.route, s.call)
}

// newServiceCall validates a request against its workspace's template.
func (r *Router) newServiceCall(w http.ResponseWriter, request *http.Request, requestID string) (*serviceCall, error) {
	body, err := jsonhttp.ReadBytes(w, request, r.settings.Limits.BodyBytes)
	if err != nil {
		return nil, err
	}
	if err := r.checkClosing(); err != nil {
		return nil, err
	}
	workspace := request.PathValue("workspace")
	rules, err := r.store.Snapshot().Rules(workspace)
	if err != nil {
		return nil, err
	}
	path := "/" + request.PathValue("path")
	route, ok := rules.Match(request.Method, path)
	if !ok {
		return nil, code.New(code.UnknownRoute, "the template has no route for %s %s", request.Method, path)
	}
	if request.URL.RawQuery != "" {
		path += "?" + request.URL.RawQuery
	}
	call := endpoint.Call{
		RequestID:   requestID,
		Workspace:   workspace,
		Method:      request.Method,
		Path:        path,
		Body:        body,
		ContentType: request.Header.Get("Content-Type"),
	}
	return &serviceCall{route: route, call: call}, nil
}

// callIdempotent calls workers in the ranked order of the request until one answers
// or the retry budget is exhausted.
func (r *Router) callIdempotent(ctx context.Context, route template.Route, call endpoint.Call) (*endpoint.Answer, error) {
	r.retryBudget.recordRequest()
	var last error
	for i, worker := range r.workers(r.members.View(), route.Service, call.RequestID) {
		if err := r.checkLateStart(ctx); err != nil {
			return nil, withRunOf(last, err)
		}
		if i > 0 && !r.retryBudget.takeRetry() {
			break
		}
		klog.Infof("route: request %s %s %s goes to worker %s.", call.RequestID, call.Method, call.Path, worker)
		answer, err := r.callWorker(ctx, worker, call)
		if err == nil {
			return &answer, nil
		}
		klog.Infof("route: request %s is not served by worker %s: %v.", call.RequestID, worker, err)
		last = err
		if ctx.Err() != nil {
			return nil, code.New(code.DeadlineExceeded, "the deadline has passed").After(time.Second)
		}
	}
	if last == nil {
		return nil, noWorker(route.Service)
	}
	return nil, code.New(code.RetryBudget, "no worker answered: %v", last).After(busyRetryAfter).WithRun(code.Of(last).Run)
}

// withRunOf returns the error of a further attempt that is refused. It says what the last one, nil if
// there was none, left of the work.
func withRunOf(last, refusal error) error {
	if last == nil {
		return refusal
	}
	refused := *code.Of(refusal)
	return refused.WithRun(code.Of(last).Run)
}

// noWorker returns the error for a service without live workers.
func noWorker(service string) error {
	return code.New(code.NoEndpoint, "the service %q has no live worker", service).After(noEndpointRetryAfter)
}

// workers returns the addresses of a service's live workers, which are its
// endpoints, in the ranked order of the request.
func (r *Router) workers(view *member.View, service, requestID string) []string {
	order := view.Pool(service).AppendRanked(nil, rank.Key(requestID), 0)
	addresses := make([]string, len(order))
	for i, vm := range order {
		addresses[i] = vm.Address
	}
	return addresses
}

// callWorker sends call to a worker, unless the worker's calls in progress are at
// the cap or it is not live.
func (r *Router) callWorker(ctx context.Context, worker string, call endpoint.Call) (endpoint.Answer, error) {
	if !r.workerCounts.acquire(worker, r.settings.Limits.ServiceRequests) {
		return endpoint.Answer{}, code.New(code.EndpointFull, "the worker %s is at its cap", worker).After(busyRetryAfter)
	}
	defer r.workerCounts.release(worker)
	if err := r.sleepGuard.Await(ctx.Done()); err != nil {
		return endpoint.Answer{}, err
	}
	if !r.members.View().Live(worker) {
		return endpoint.Answer{}, code.New(code.EndpointLeaving, "the worker %s is not live", worker)
	}
	return r.service.Call(ctx, worker, call)
}
