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
	// Executor is the peer address of the router that made the ticket.
	Executor string `json:"x"`
	// Incarnation is the router process's incarnation.
	Incarnation string `json:"i"`
	// Serial is unique.
	Serial string `json:"n"`
	// Workspace is whose work it is.
	Workspace string `json:"w"`
	// ExpiresMS is when the ticket becomes void, in milliseconds since 1970 of
	// the executor's clock.
	ExpiresMS int64 `json:"t"`
}

// NewTicket returns a Ticket for the executor.
func NewTicket(executor, incarnation, workspace string, expires time.Time) Ticket {
	return Ticket{
		Executor:    executor,
		Incarnation: incarnation,
		Serial:      uuid.NewString(),
		Workspace:   workspace,
		ExpiresMS:   expires.UnixMilli(),
	}
}

// Expires returns when the ticket becomes void.
func (t Ticket) ExpiresAt() time.Time {
	return time.UnixMilli(t.ExpiresMS)
}

// Seal returns the text of t for callers.
func (t Ticket) Seal(secret []byte) string {
	return seal.Seal(secret, ticketPurpose, t)
}

// OpenTicket checks and decodes a text made by Seal for workspace. Errors
// carry code.InvalidTicket.
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
