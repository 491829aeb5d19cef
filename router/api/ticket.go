package api

// TicketRequest is the body of POST /v1/tickets.
type TicketRequest struct {
	// Workspace is the workspace that the work belongs to.
	Workspace string `json:"workspace"`
}

// Ticket is the answer of POST /v1/tickets.
type Ticket struct {
	// Ticket is the value of the header Idempotency-Key for the work and for every
	// retry of it.
	Ticket string `json:"ticket"`
	// ExpiresMS is when the ticket expires, in milliseconds since 1970.
	ExpiresMS int64 `json:"expires_ms"`
}
