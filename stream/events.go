package stream

import (
	"bytes"
	"io"

	"cardamompoint.example/cardamompoint/code"
)

const (
	// eventBuffer is the first size of the buffer of an EventReader, eventLimit
	// the largest event that it takes.
	eventBuffer = 4 << 10
	eventLimit  = 128 << 10
)

// EventReader splits a stream into whole server-sent events without decoding
// them. It is not safe for concurrent use.
type EventReader struct {
	source io.Reader
	buffer []byte
	start  int
	end    int
	err    error
}

// NewEventReader returns an EventReader for source.
func NewEventReader(source io.Reader) *EventReader {
	return &EventReader{source: source, buffer: make([]byte, eventBuffer)}
}

// Next returns the whole events that have arrived, at least one, and the id of
// the last one. Both are valid until the next call. At the end of the stream
// the error is io.EOF; if it ends within an event, io.ErrUnexpectedEOF.
func (r *EventReader) Next() (events, lastID []byte, err error) {
	for {
		if size := wholeEvents(r.buffer[r.start:r.end]); size > 0 {
			events = r.buffer[r.start : r.start+size]
			r.start += size
			return events, lastEventID(events), nil
		}
		if r.err != nil {
			return nil, nil, r.endError()
		}
		if err := r.fill(); err != nil {
			return nil, nil, err
		}
	}
}

func (r *EventReader) endError() error {
	if r.err == io.EOF && r.start < r.end {
		return io.ErrUnexpectedEOF
	}
	return r.err
}

// fill reads once more, after the part of an event that is there.
func (r *EventReader) fill() error {
	if r.start > 0 {
		copy(r.buffer, r.buffer[r.start:r.end])
		r.end -= r.start
		r.start = 0
	}
	if r.end == len(r.buffer) {
		if len(r.buffer) >= eventLimit {
			return code.New(code.EndpointFault, "an event is longer than %d bytes", eventLimit)
		}
		r.buffer = append(r.buffer, make([]byte, len(r.buffer))...)
	}
	count, err := r.source.Read(r.buffer[r.end:])
	r.end += count
	r.err = err
	return nil
}

// wholeEvents returns the length of the whole events at the start of data.
func wholeEvents(data []byte) int {
	end := bytes.LastIndex(data, []byte("\n\n"))
	if end >= 0 {
		return end + 2
	}
	end = bytes.LastIndex(data, []byte("\r\n\r\n"))
	if end >= 0 {
		return end + 4
	}
	return 0
}

var idField = []byte("id:")

// lastEventID returns the value of the last id field.
func lastEventID(events []byte) []byte {
	for end := len(events); end > 0; {
		begin := bytes.LastIndexByte(events[:end-1], '\n') + 1
		line := events[begin:end]
		if bytes.HasPrefix(line, idField) {
			return bytes.TrimSpace(line[len(idField):])
		}
		end = begin
	}
	return nil
}
