package api

// TicketRequest is the body of POST /v1/tickets.
type TicketRequest struct {
	// Workspace is whose work the ticket is for.
	Workspace string `json:"workspace"`
}

// Ticket is the answer of POST /v1/tickets.
type Ticket struct {
	// Ticket is sent as Idempotency-Key with the work and with every repeat.
	Ticket string `json:"ticket"`
	// ExpiresMS is when the ticket becomes void, in milliseconds since 1970.
	ExpiresMS int64 `json:"expires_ms"`
}
