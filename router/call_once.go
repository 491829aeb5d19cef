package router

import (
	"context"
	"net/http"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/once"
)

// callOnce runs a non-idempotent call at most once, under a ticket or a caller key.
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

// executeOnce sends the call to the executor of its ticket or caller key and
// returns the recorded outcome.
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
	callerKey, err := once.ParseCallerKey(call.Workspace, key)
	if err != nil {
		return once.Outcome{}, err
	}
	return r.executeCallerKey(ctx, callerKeyExecution{Key: callerKey, Service: service, Call: call})
}

// withRunUnknown marks an error that occurred before the executor of the request's
// key answered. If the request has a key, earlier work under it may have run, so an
// error that says RunNo gets RunUnknown instead.
func withRunUnknown(request *http.Request, err error) error {
	if request.Header.Get(keyHeader) == "" || code.Of(err).Run != code.RunNo {
		return err
	}
	unknown := *code.Of(err)
	return unknown.WithRun(code.RunUnknown)
}

// runInBackground starts run in a goroutine. A graceful shutdown waits for it.
func (r *Router) runInBackground(run func()) {
	r.inProgress.Add(1)
	r.tasks.Go(func() {
		defer r.inProgress.Add(-1)
		run()
	})
}
