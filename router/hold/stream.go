package hold

import (
	"context"
	"time"

	"cardamompoint.example/cardamompoint/router/balance"
)

// Stream is a stream at an engine that a router accounts for. Its fields are guarded by the
// mutex of its Table.
type Stream struct {
	Key

	// reservation is the capacity reserved at the engine; nil if there is none.
	reservation *balance.Reservation
	// readerID is the number of the current reader. It rises with each new reader.
	readerID int
	// stopReader ends the current reader's relay; nil while there is no reader.
	stopReader context.CancelCauseFunc
	// holdTimer cancels the stream if no reader resumes it in time; nil while there
	// is a reader.
	holdTimer *time.Timer
}

// Reservation returns the capacity reserved at the engine, nil if there is none. It never
// changes.
func (s *Stream) Reservation() *balance.Reservation {
	return s.reservation
}
