package httpguard

import (
	"bytes"
	"strconv"
)

// chunkState is the parser state in a chunked body.
type chunkState int

const (
	// chunkSize means that a line with a chunk size follows.
	chunkSize chunkState = iota
	// chunkData means that data of a chunk follows.
	chunkData
	// chunkEnd means that the CR LF after a chunk's data follows.
	chunkEnd
	// chunkTrailer means that a trailer line follows, or the empty line that ends the body.
	chunkTrailer
)

// maxChunkLine bounds a size or trailer line, in bytes.
const maxChunkLine = 1024

// body tracks the framing of one body. The zero value is an empty body.
type body struct {
	// remaining is the number of bytes left of the body, or of the current chunk.
	remaining int
	// chunked reports whether the body is chunked and has not ended.
	chunked bool
	state   chunkState
}

// done reports whether the body has ended.
func (b *body) done() bool {
	return !b.chunked && b.remaining == 0
}

// consume returns how many bytes at the start of data belong to the body and may be
// passed on. The error is ErrMalformedBody if the bytes after these are malformed.
func (b *body) consume(data []byte) (int, error) {
	if !b.chunked {
		count := min(b.remaining, len(data))
		b.remaining -= count
		return count, nil
	}
	taken := 0
	for b.chunked && taken < len(data) {
		count, err := b.consumeNext(data[taken:])
		taken += count
		if err != nil || count == 0 {
			return taken, err
		}
	}
	return taken, nil
}

// consumeNext consumes one element of a chunked body: a line, or data of a chunk. It
// returns 0 while a line is incomplete.
func (b *body) consumeNext(data []byte) (int, error) {
	if b.state == chunkData {
		count := min(b.remaining, len(data))
		b.remaining -= count
		if b.remaining == 0 {
			b.state = chunkEnd
		}
		return count, nil
	}
	end := bytes.IndexByte(data, '\n')
	if end < 0 && len(data) > maxChunkLine {
		return 0, ErrMalformedBody
	}
	if end < 0 {
		return 0, nil
	}
	if !isValidLine(data[:end]) {
		return 0, ErrMalformedBody
	}
	return end + 1, b.applyLine(string(data[:end-1]))
}

// applyLine updates the state with a line that is not chunk data, without its CR LF.
func (b *body) applyLine(text string) error {
	switch b.state {
	case chunkSize:
		return b.parseChunkSize(text)
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

// parseChunkSize parses the size of the next chunk. Chunk extensions are rejected: they
// are not used in practice, and parsers differ in where they end.
func (b *body) parseChunkSize(text string) error {
	size, err := strconv.ParseUint(text, 16, 32)
	if err != nil || size > maxBodyLength {
		return ErrMalformedBody
	}
	if size == 0 {
		b.state = chunkTrailer
		return nil
	}
	b.remaining, b.state = int(size), chunkData
	return nil
}
