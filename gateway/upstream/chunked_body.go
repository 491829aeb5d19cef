package upstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"cardamompoint.example/cardamompoint/code"
)

const (
	// maxTrailerBytes bounds the lines after the last chunk, which are skipped.
	maxTrailerBytes = 4 << 10
	// maxExcessBytes bounds by how much the framing of a body exceeds freeFramingBytes for each chunk and
	// freeFramingPerByte for each byte of data.
	maxExcessBytes     = 16 << 10
	freeFramingBytes   = 16
	freeFramingPerByte = 2
)

var crlf = []byte("\r\n")

// chunkedBody decodes a response body in chunks. Unlike the decoder of net/http, its Read never waits for bytes while it
// has some to return: an event reaches the caller even if the endpoint stops in the framing after it.
type chunkedBody struct {
	source *bufio.Reader
	// unread is the number of bytes of the current chunk that were not read yet.
	unread uint64
	// inBody reports whether a chunk was read, so that its line end comes before the next size.
	inBody bool
	// excess is the framing beyond what is free, in bytes.
	excess int64
	// err is the error that ended the body, io.EOF after its last line.
	err error
}

// Read implements io.Reader. The error is io.EOF only at the end of a complete body.
func (b *chunkedBody) Read(p []byte) (count int, err error) {
	for b.err == nil && count < len(p) {
		if count > 0 && !b.isNextByteBuffered() {
			return count, nil
		}
		if b.unread == 0 {
			b.err = b.beginChunk()
			continue
		}
		var size int
		size, b.err = b.source.Read(p[count:][:min(uint64(len(p)-count), b.unread)])
		b.err = unexpectedEnd(b.err)
		b.unread -= uint64(size)
		count += size
	}
	return count, b.err
}

// Close implements io.Closer. It does nothing: the connection is closed or reused by its owner.
func (b *chunkedBody) Close() error {
	return nil
}

// isNextByteBuffered reports whether the next byte of the body, if there is one, can be read without waiting.
func (b *chunkedBody) isNextByteBuffered() bool {
	buffered, _ := b.source.Peek(b.source.Buffered())
	if b.unread > 0 {
		return len(buffered) > 0
	}
	framing, ok := bytes.CutPrefix(buffered, crlf)
	if !ok || len(framing) == 0 || framing[0] == '0' { // The last chunk has the size 0.
		return false
	}
	end := bytes.IndexByte(framing, '\n')
	return end >= 0 && end+1 < len(framing)
}

// beginChunk reads the framing up to the data of the next chunk. It returns io.EOF if there is none.
func (b *chunkedBody) beginChunk() error {
	if b.inBody {
		if err := b.endChunk(); err != nil {
			return err
		}
	}
	line, err := b.readLine()
	if err != nil {
		return err
	}
	size, err := parseChunkSize(line)
	if err != nil {
		return err
	}
	b.excess += int64(len(line)+len(crlf)) - freeFramingBytes - freeFramingPerByte*int64(min(size, maxExcessBytes))
	b.excess = max(b.excess, 0)
	if b.excess > maxExcessBytes {
		return code.New(code.EndpointFault, "the framing of the body is much longer than its data")
	}
	if size == 0 {
		return b.skipTrailer()
	}
	b.unread, b.inBody = size, true
	return nil
}

// endChunk reads the line end after the data of a chunk.
func (b *chunkedBody) endChunk() error {
	var end [2]byte
	if _, err := io.ReadFull(b.source, end[:]); err != nil {
		return unexpectedEnd(err)
	}
	if !bytes.Equal(end[:], crlf) {
		return code.New(code.EndpointFault, "a chunk is longer than its size")
	}
	return nil
}

// skipTrailer reads the lines after the last chunk. It returns io.EOF after the empty one.
func (b *chunkedBody) skipTrailer() error {
	for size := 0; size < maxTrailerBytes; {
		line, err := b.readLine()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return io.EOF
		}
		size += len(line)
	}
	return code.New(code.EndpointFault, "the trailer of the body is longer than %d bytes", maxTrailerBytes)
}

// readLine returns the next line without its end, which must be CRLF. It is valid until the next read.
func (b *chunkedBody) readLine() ([]byte, error) {
	line, err := b.source.ReadSlice('\n')
	if err != nil {
		return nil, unexpectedEnd(err)
	}
	line, ok := bytes.CutSuffix(line, crlf)
	if !ok || bytes.IndexByte(line, '\r') >= 0 {
		return nil, code.New(code.EndpointFault, "a line in the framing of the body does not end with CRLF")
	}
	return line, nil
}

// maxSizeDigits bounds the digits of a chunk's size, so that it fits into 64 bits.
const maxSizeDigits = 16

// parseChunkSize parses the size of a chunk in hexadecimal and ignores extensions.
func parseChunkSize(line []byte) (uint64, error) {
	digits, _, _ := bytes.Cut(line, []byte{';'})
	digits = bytes.TrimRight(digits, " \t")
	if len(digits) > maxSizeDigits {
		return 0, code.New(code.EndpointFault, "the size of a chunk is too long")
	}
	size, err := strconv.ParseUint(string(digits), 16, 64)
	if err != nil {
		return 0, code.New(code.EndpointFault, "the size %q of a chunk is no hexadecimal number", digits)
	}
	return size, nil
}

// unexpectedEnd returns err, or io.ErrUnexpectedEOF for io.EOF: neither a head nor a body in chunks ends with its connection.
func unexpectedEnd(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
