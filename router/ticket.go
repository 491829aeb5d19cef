package router

import (
	"net/http"
	"time"

	"cardamompoint.example/cardamompoint/api"
	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
	"cardamompoint.example/cardamompoint/once"
)

// serveTicket answers POST /v1/tickets.
func (r *Router) serveTicket(w http.ResponseWriter, request *http.Request) {
	var body api.TicketRequest
	if err := jsonhttp.Read(w, request, r.settings.Limits.BodyBytes, &body); err != nil {
		r.answerError(w, err)
		return
	}
	if _, err := r.store.Snapshot().Rules(body.Workspace); err != nil {
		r.answerError(w, err)
		return
	}
	self := r.members.Self()
	expires := time.Now().Add(milliseconds(r.settings.Timing.KeyWindowMS))
	ticket := once.NewTicket(self.Address, self.Incarnation, body.Workspace, expires)
	r.metrics.Result(code.OK)
	jsonhttp.Write(w, api.Ticket{Ticket: ticket.Seal(r.settings.Secret), ExpiresMS: ticket.ExpiresMS})
}

// serveOutcome answers GET /v1/outcomes/{workspace}/{key}.
func (r *Router) serveOutcome(w http.ResponseWriter, request *http.Request) {
	ticket, err := once.OpenTicket(r.settings.Secret, request.PathValue("key"), request.PathValue("workspace"))
	if err != nil {
		r.answerError(w, err)
		return
	}
	outcome, err := r.outcome(request.Context(), ticket)
	if err != nil {
		r.answerError(w, err)
		return
	}
	if outcome.Error != nil {
		r.answerError(w, outcome.Error)
		return
	}
	r.metrics.Result(code.OK)
	writeAnswer(w, ticket.Serial, outcome.Answer)
}
