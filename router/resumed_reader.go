package router

import (
	"context"

	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/stream"
)

// resumedReader passes the lines of a resumed stream to its receiver.
type resumedReader struct {
	id stream.ID
	// next is the offset of the next token.
	next        int
	receiver    receiver
	started     bool
	receiverErr error
}

// order returns the request for the rest of the stream.
func (s *resumedReader) order(ctx context.Context) resumeOrder {
	return resumeOrder{Stream: s.id, Offset: s.next, DeadlineMS: timeLeft(ctx).Milliseconds()}
}

// handleLine passes a line to the receiver and records the receiver's error.
func (s *resumedReader) handleLine(line endpoint.Line) error {
	s.receiverErr = s.deliver(line)
	return s.receiverErr
}

// deliver passes a line to the receiver.
func (s *resumedReader) deliver(line endpoint.Line) error {
	if !s.started {
		s.started = true
		at := attempt{engine: s.id.Engine, home: s.id.Home, streamID: s.id.StreamID}
		if err := s.receiver.started(at); err != nil {
			return err
		}
	}
	if line.Final != nil {
		final := *line.Final
		final.Engine = s.id.Engine
		return s.receiver.finished(final)
	}
	if line.Text == "" {
		return s.receiver.alive()
	}
	s.next++
	return s.receiver.token(line)
}
