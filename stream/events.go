package stream

import (
	"bytes"
	"io"

	"cardamompoint.example/cardamompoint/code"
)

const (
	// initialBufferBytes is the initial size of an EventReader's buffer. maxEventBytes is
	// the largest event that it accepts.
	initialBufferBytes = 4 << 10
	maxEventBytes      = 128 << 10
)

// EventReader splits a stream into complete server-sent events without decoding them. It
// is not safe for concurrent use.
type EventReader struct {
	source io.Reader
	// buffer[start:end] was read and not returned yet.
	buffer []byte
	start  int
	end    int
	// err is the error of the last read.
	err error
}

// NewEventReader returns an EventReader that reads from source.
func NewEventReader(source io.Reader) *EventReader {
	return &EventReader{source: source, buffer: make([]byte, initialBufferBytes)}
}

// Next returns the complete events that have arrived, at least one, and the last ID
// among them, nil if none has one. It blocks until an event is complete. The results are
// valid until the next call. The error is io.EOF at the end of the stream,
// io.ErrUnexpectedEOF if the stream ends within an event, and code.EndpointFault if an
// event is too long.
func (r *EventReader) Next() (events, lastID []byte, err error) {
	for {
		if size := completeEvents(r.buffer[r.start:r.end]); size > 0 {
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

// endError returns the error that ended the stream, io.ErrUnexpectedEOF if part of an
// event is left.
func (r *EventReader) endError() error {
	if r.err == io.EOF && r.start < r.end {
		return io.ErrUnexpectedEOF
	}
	return r.err
}

// fill reads once from the source, after the incomplete event in the buffer. It grows the
// buffer if the event fills it. A read error is kept in r.err.
func (r *EventReader) fill() error {
	if r.start > 0 {
		copy(r.buffer, r.buffer[r.start:r.end])
		r.end -= r.start
		r.start = 0
	}
	if r.end == len(r.buffer) {
		if len(r.buffer) >= maxEventBytes {
			return code.New(code.EndpointFault, "event exceeds %d bytes", maxEventBytes)
		}
		r.buffer = append(r.buffer, make([]byte, len(r.buffer))...)
	}
	count, err := r.source.Read(r.buffer[r.end:])
	r.end += count
	r.err = err
	return nil
}

// completeEvents returns the length of the complete events at the start of data.
func completeEvents(data []byte) int {
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

// lastEventID returns the value of the last id field, nil if there is none.
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
