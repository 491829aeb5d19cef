package router

import (
	"context"
	"net/http"
	"strings"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/once"
)

// serveOutcome handles GET /v1/outcomes/{workspace}/{key}.
func (r *Router) serveOutcome(w http.ResponseWriter, request *http.Request) {
	r.answerOutcome(w, request, false)
}

// serveRevoke handles DELETE /v1/outcomes/{workspace}/{key}: work that has not
// started never runs, and the answer says so.
func (r *Router) serveRevoke(w http.ResponseWriter, request *http.Request) {
	r.answerOutcome(w, request, true)
}

// answerOutcome writes the outcome of a ticket or caller key, after revoking it if
// revoke is set.
func (r *Router) answerOutcome(w http.ResponseWriter, request *http.Request, revoke bool) {
	ctx, cancel := context.WithTimeout(request.Context(), r.requestTimeout())
	defer cancel()
	workspace, key := request.PathValue("workspace"), request.PathValue("key")
	outcome, err := r.askOutcome(ctx, workspace, key, revoke)
	if err == nil && outcome.Error != nil {
		err = outcome.Error
	}
	if err != nil {
		r.writeError(w, err)
		return
	}
	r.metrics.CountResult(code.OK)
	writeAnswer(w, key, outcome.Answer)
}

// askOutcome requests the outcome of a ticket or caller key from its executor.
func (r *Router) askOutcome(ctx context.Context, workspace, key string, revoke bool) (once.Outcome, error) {
	if isTicket(key) {
		ticket, err := once.OpenTicket(r.settings.Secret, key, workspace)
		if err != nil {
			return once.Outcome{}, err
		}
		return r.askTicketOutcome(ctx, ticket, revoke)
	}
	callerKey, err := once.ParseCallerKey(workspace, key)
	if err != nil {
		return once.Outcome{}, err
	}
	if revoke {
		return r.executeCallerKey(ctx, callerKeyExecution{Key: callerKey, Revoke: true})
	}
	return r.askCallerKeyOutcome(ctx, callerKey)
}

// isTicket reports whether a key has the form of a ticket. Caller keys are UUIDs,
// which contain no dot.
func isTicket(key string) bool {
	return strings.Contains(key, ".")
}
