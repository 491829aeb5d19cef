package router

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
	"cardamompoint.example/cardamompoint/router/api"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/template"
	"cardamompoint.example/cardamompoint/stream"
)

// serveCompletion handles POST /v1/chat/completions.
func (r *Router) serveCompletion(w http.ResponseWriter, request *http.Request) {
	var body api.CompletionRequest
	if err := jsonhttp.Read(w, request, r.settings.Limits.BodyBytes, &body); err != nil {
		r.writeError(w, err)
		return
	}
	if err := r.checkClosing(); err != nil {
		r.writeError(w, err)
		return
	}
	requestID := uuid.NewString()
	j, timeout, err := r.newJob(requestID, &body)
	if err != nil {
		r.writeError(w, withRequestID(err, requestID))
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), timeout)
	defer cancel()
	if body.Stream {
		r.streamedCompletion(ctx, w, j)
		return
	}
	r.bufferedCompletion(ctx, w, j)
}

// newJob validates body against the snapshot in force. It returns the request's job
// and its timeout.
func (r *Router) newJob(requestID string, body *api.CompletionRequest) (*job, time.Duration, error) {
	if err := body.Validate(); err != nil {
		return nil, 0, err
	}
	snapshot, view := r.store.Snapshot(), r.members.View()
	rules, err := snapshot.Rules(body.Workspace)
	if err != nil {
		return nil, 0, err
	}
	choice, err := chooseModel(rules, body.Chat, body.Model)
	if err != nil {
		return nil, 0, err
	}
	work, err := newWork(requestID, body, rules, choice)
	if err != nil {
		return nil, 0, err
	}
	hinted := stream.OpenHint(r.settings.Secret, body.Hint, body.Workspace, body.Chat)
	ranked, err := r.candidatesOf(snapshot, view, chatKey(body.Workspace, body.Chat), choice.Model, hinted)
	if err != nil {
		return nil, 0, err
	}
	timeout := r.requestTimeout(body.TimeoutMS, rules.Completion.TimeoutMS)
	search := body.IsReturning() && ranked[0].reason != reasonHint
	return &job{router: r, work: work, candidates: ranked, searchContext: search, delivered: slices.Clone(body.Prefix)}, timeout, nil
}

// newWork returns the work of a request, with the limits and defaults of the
// workspace's template.
func newWork(requestID string, body *api.CompletionRequest, rules *template.Rules, choice template.ModelChoice) (endpoint.Work, error) {
	maxTokens := rules.Completion.MaxTokens
	if body.MaxTokens > maxTokens {
		return endpoint.Work{}, code.New(code.InvalidParameter, "max_tokens is %d, the template allows %d", body.MaxTokens, maxTokens).At("$.max_tokens")
	}
	if body.MaxTokens > 0 {
		maxTokens = body.MaxTokens
	}
	if len(body.Prefix) > maxTokens {
		return endpoint.Work{}, code.New(code.InvalidParameter, "the prefix has %d tokens, the limit is %d", len(body.Prefix), maxTokens).At("$.prefix")
	}
	priority := body.Priority
	if priority == "" {
		priority = rules.Completion.Priority
	}
	return endpoint.Work{
		RequestID: requestID,
		Workspace: body.Workspace,
		Chat:      body.Chat,
		Model:     choice.Model,
		Adapter:   choice.Adapter,
		Priority:  priority,
		Prompt:    body.Prompt(),
		MaxTokens: maxTokens,
	}, nil
}

// requestTimeout returns the smallest of the given limits in milliseconds that are
// set, at most the one of the settings.
func (r *Router) requestTimeout(limitsMS ...int) time.Duration {
	least := r.settings.Timing.RequestMS
	for _, limit := range limitsMS {
		if limit > 0 {
			least = min(least, limit)
		}
	}
	return milliseconds(least)
}

// streamedCompletion runs the job and writes its answer as server-sent events.
func (r *Router) streamedCompletion(ctx context.Context, w http.ResponseWriter, j *job) {
	receiver := &streamReceiver{router: r, job: j, w: w}
	j.receiver = receiver
	err := j.run(ctx)
	r.logResult(j.work.RequestID, err)
	if err == nil {
		r.metrics.CountResult(code.OK)
		return
	}
	receiver.fail(withRequestID(err, j.work.RequestID))
}

// bufferedCompletion runs the job and writes its answer as one JSON document.
func (r *Router) bufferedCompletion(ctx context.Context, w http.ResponseWriter, j *job) {
	receiver := &bufferedReceiver{}
	receiver.text.WriteString(strings.Join(j.delivered, ""))
	j.receiver = receiver
	err := j.run(ctx)
	r.logResult(j.work.RequestID, err)
	if err != nil {
		r.writeError(w, withRequestID(err, j.work.RequestID))
		return
	}
	r.metrics.CountResult(code.OK)
	r.metrics.AddTokens(receiver.final.Tokens, receiver.final.ReusedTokens)
	jsonhttp.Write(w, receiver.answer(r, j))
}

// logResult logs the end of a request.
func (r *Router) logResult(requestID string, err error) {
	if err != nil {
		klog.Infof("exec: request %s failed: %v.", requestID, err)
		return
	}
	klog.Infof("exec: request %s is answered.", requestID)
}

// writeError counts a failed request and writes err to the caller as a coded error.
func (r *Router) writeError(w http.ResponseWriter, err error) {
	r.metrics.CountResult(code.Of(err).Code)
	jsonhttp.WriteError(w, err)
}

// withRequestID returns a copy of err, as a coded error, with the request's ID.
func withRequestID(err error, requestID string) *code.Error {
	coded := *code.Of(err)
	coded.RequestID = requestID
	return &coded
}
