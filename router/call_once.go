package router

import (
	"context"
	"net/http"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/once"
)

// callOnce runs a call that may not be repeated, under the ticket or the
// caller's own key.
func (r *Router) callOnce(ctx context.Context, service string, call endpoint.Call, key string) (*endpoint.Answer, error) {
	outcome, err := r.executeOnce(ctx, service, call, key)
	if err != nil {
		return nil, err
	}
	if outcome.Error != nil {
		return nil, outcome.Error
	}
	return outcome.Answer, nil
}

func (r *Router) executeOnce(ctx context.Context, service string, call endpoint.Call, key string) (once.Outcome, error) {
	if key == "" {
		return once.Outcome{}, code.New(code.InvalidKey, "the header %s is missing", keyHeader)
	}
	if isTicket(key) {
		ticket, err := once.OpenTicket(r.settings.Secret, key, call.Workspace)
		if err != nil {
			return once.Outcome{}, err
		}
		return r.sendExecution(ctx, execution{Ticket: ticket, Service: service, Call: call})
	}
	own, err := once.ParseCallerKey(call.Workspace, key)
	if err != nil {
		return once.Outcome{}, err
	}
	return r.executeCallerKey(ctx, callerKeyExecution{Key: own, Service: service, Call: call})
}

// unproved returns a refusal that was given before the executor of the
// request's key answered. Earlier work with the key may have run, so such a
// refusal of a request with a key leaves the outcome open.
func withRunUnknown(request *http.Request, err error) error {
	if request.Header.Get(keyHeader) == "" || code.Of(err).Run != code.RunNo {
		return err
	}
	open := *code.Of(err)
	return open.WithRun(code.RunUnknown)
}

// execute runs work in the background; a graceful shutdown waits for it.
func (r *Router) runInBackground(run func()) {
	r.inProgress.Add(1)
	r.tasks.Go(func() {
		defer r.inProgress.Add(-1)
		run()
	})
}
