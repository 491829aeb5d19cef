package router

import (
	"context"

	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/stream"
)

// resumedReader hands the lines of a resumed stream to its receiver.
type resumedReader struct {
	id       stream.ID
	next     int
	receiver receiver
	begun    bool
	leftErr  error
}

func (s *resumedReader) order(ctx context.Context) resumeOrder {
	return resumeOrder{Stream: s.id, Offset: s.next, DeadlineMS: timeLeft(ctx).Milliseconds()}
}

func (s *resumedReader) take(line endpoint.Line) error {
	s.leftErr = s.hand(line)
	return s.leftErr
}

func (s *resumedReader) hand(line endpoint.Line) error {
	if !s.begun {
		s.begun = true
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
