package once

import (
	"time"

	"github.com/google/uuid"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/seal"
)

const ticketPurpose = "ticket"

// Ticket names the only process that may execute one piece of work.
type Ticket struct {
	// Executor is the peer address of the router that issued the ticket.
	Executor string `json:"x"`
	// Incarnation is the incarnation of the router process.
	Incarnation string `json:"i"`
	// Serial is a unique identifier.
	Serial string `json:"n"`
	// Workspace is the workspace that the work belongs to.
	Workspace string `json:"w"`
	// ExpiresMS is when the ticket expires, in milliseconds since 1970 by the
	// executor's clock.
	ExpiresMS int64 `json:"t"`
}

// NewTicket returns a Ticket with a new serial for the executor.
func NewTicket(executor, incarnation, workspace string, expires time.Time) Ticket {
	return Ticket{
		Executor:    executor,
		Incarnation: incarnation,
		Serial:      uuid.NewString(),
		Workspace:   workspace,
		ExpiresMS:   expires.UnixMilli(),
	}
}

// ExpiresAt returns when the ticket expires.
func (t Ticket) ExpiresAt() time.Time {
	return time.UnixMilli(t.ExpiresMS)
}

// Seal returns t as the sealed text that its caller gets.
func (t Ticket) Seal(secret []byte) string {
	return seal.Seal(secret, ticketPurpose, t)
}

// OpenTicket verifies and decodes a text that Seal returned for a ticket of
// workspace. Errors carry code.InvalidTicket.
func OpenTicket(secret []byte, text, workspace string) (Ticket, error) {
	var ticket Ticket
	if err := seal.Open(secret, ticketPurpose, text, &ticket); err != nil {
		return Ticket{}, code.Wrap(err, code.InvalidTicket, "the ticket is not valid")
	}
	if ticket.Workspace != workspace {
		return Ticket{}, code.New(code.InvalidTicket, "the ticket belongs to another workspace")
	}
	return ticket, nil
}
