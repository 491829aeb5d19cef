package httpguard

import (
	"bytes"
	"strconv"
)

// chunkState is the place in a body in chunks.
type chunkState int

const (
	// chunkSize is before the line with a chunk's size.
	chunkSize chunkState = iota
	// chunkData is within a chunk.
	chunkData
	// chunkEnd is before the CR LF behind a chunk.
	chunkEnd
	// chunkTrailer is in the lines behind the last chunk.
	chunkTrailer
)

// maxLine bounds a line between chunks, in bytes.
const maxLine = 1024

// body follows the framing of one body. The zero value is an empty body.
type body struct {
	left    int
	chunked bool
	state   chunkState
}

// done reports whether the body has ended.
func (b *body) done() bool {
	return !b.chunked && b.left == 0
}

// take returns how many bytes at the start of data belong to the body and may be
// passed on.
func (b *body) take(data []byte) (int, error) {
	if !b.chunked {
		count := min(b.left, len(data))
		b.left -= count
		return count, nil
	}
	taken := 0
	for b.chunked && taken < len(data) {
		count, err := b.step(data[taken:])
		taken += count
		if err != nil || count == 0 {
			return taken, err
		}
	}
	return taken, nil
}

// step takes one piece: a line, or bytes of a chunk. It takes nothing while a
// line is not whole.
func (b *body) step(data []byte) (int, error) {
	if b.state == chunkData {
		count := min(b.left, len(data))
		b.left -= count
		if b.left == 0 {
			b.state = chunkEnd
		}
		return count, nil
	}
	end := bytes.IndexByte(data, '\n')
	if end < 0 && len(data) > maxLine {
		return 0, ErrMalformedBody
	}
	if end < 0 {
		return 0, nil
	}
	if !cleanLine(data[:end]) {
		return 0, ErrMalformedBody
	}
	return end + 1, b.line(string(data[:end-1]))
}

// line follows a line between chunks.
func (b *body) line(text string) error {
	switch b.state {
	case chunkSize:
		return b.size(text)
	case chunkEnd:
		if text != "" {
			return ErrMalformedBody
		}
		b.state = chunkSize
	case chunkTrailer:
		if text == "" {
			b.chunked = false
		}
	}
	return nil
}

// size reads the size of the next chunk. Extensions are refused: nobody uses
// them, and readers differ in where they end.
func (b *body) size(text string) error {
	size, err := strconv.ParseUint(text, 16, 32)
	if err != nil || size > maxLength {
		return ErrMalformedBody
	}
	if size == 0 {
		b.state = chunkTrailer
		return nil
	}
	b.left, b.state = int(size), chunkData
	return nil
}
