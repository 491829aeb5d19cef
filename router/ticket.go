package router

import (
	"net/http"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
	"cardamompoint.example/cardamompoint/router/api"
	"cardamompoint.example/cardamompoint/router/once"
)

// serveTicket handles POST /v1/tickets.
func (r *Router) serveTicket(w http.ResponseWriter, request *http.Request) {
	var body api.TicketRequest
	if err := jsonhttp.Read(w, request, r.settings.Limits.BodyBytes, &body); err != nil {
		r.writeError(w, err)
		return
	}
	if _, err := r.store.Snapshot().Rules(body.Workspace); err != nil {
		r.writeError(w, err)
		return
	}
	self := r.members.Self()
	expires := time.Now().Add(milliseconds(r.settings.Timing.KeyWindowMS))
	ticket := once.NewTicket(self.Address, self.Incarnation, body.Workspace, expires)
	r.metrics.CountResult(code.OK)
	jsonhttp.Write(w, api.Ticket{Ticket: ticket.Seal(r.settings.Secret), ExpiresMS: ticket.ExpiresMS})
}
