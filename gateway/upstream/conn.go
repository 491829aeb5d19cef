package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/httpstatus"
	"cardamompoint.example/cardamompoint/internal/socket"
	"cardamompoint.example/cardamompoint/platform"
)

// readBufferBytes is the size of the read buffer of a connection.
const readBufferBytes = 4096

// maxStaleResponses bounds the number of skipped responses to earlier requests.
const maxStaleResponses = 2

// Conn is a connection to an endpoint. It is not safe for concurrent use, except for Close and
// SetDeadline.
type Conn struct {
	// key is the key of the endpoint in the pool.
	key     string
	raw     net.Conn
	writer  *socket.Writer
	reads   *patientReader
	limiter *headerLimiter
	sticky  *stickyReader
	reader  *bufio.Reader
	// reused reports whether the connection has served a request before.
	reused bool
	// idleSince is when the connection was last used or opened.
	idleSince clock.Boot
	// wasIdle reports whether the connection waited in the pool before the current request, and
	// idleFor for how long.
	wasIdle bool
	idleFor time.Duration
	// idleDeadline is when the idle connection may no longer be reused, as the endpoint may
	// close it.
	idleDeadline clock.Boot
}

func newConn(key string, raw net.Conn) *Conn {
	reads := &patientReader{conn: raw}
	limiter := &headerLimiter{source: reads}
	sticky := &stickyReader{source: limiter}
	now := clock.Now()
	return &Conn{
		key: key, raw: raw, writer: socket.NewWriter(raw), reads: reads, limiter: limiter,
		sticky: sticky, reader: bufio.NewReaderSize(sticky, readBufferBytes),
		idleSince: now, idleDeadline: now.Add(defaultIdleTimeout),
	}
}

// Reused reports whether the connection has served a request before.
func (c *Conn) Reused() bool {
	return c.reused
}

// WasIdle reports whether the connection waited in the pool before the current request.
func (c *Conn) WasIdle() bool {
	return c.wasIdle
}

// IdleFor returns how long the connection waited in the pool before the current request.
func (c *Conn) IdleFor() time.Duration {
	return c.idleFor
}

// Stale reports whether the endpoint seems to have given up the idle connection before the current
// request: it ended with err before a byte of a response came.
func (c *Conn) Stale(err error) bool {
	return c.wasIdle && c.Unanswered(err)
}

// Unanswered reports whether the connection ended with err before a byte of a response to the current
// request came.
func (c *Conn) Unanswered(err error) bool {
	return !c.reads.received && Broke(err)
}

// Broke reports whether the endpoint's side ended a connection.
func Broke(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// Close closes the connection and thereby abandons a request in progress.
func (c *Conn) Close() {
	if err := c.raw.Close(); err != nil {
		return // The end of the request's context has already closed it.
	}
}

// Abort closes the connection with a reset and drops what was not sent yet, so that the endpoint does not get a
// request whose caller has left.
func (c *Conn) Abort() {
	if lingering, ok := c.raw.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingering.SetLinger(0) // It fails only if the connection is closed.
	}
	c.Close()
}

// HasInput reports whether bytes have arrived since the last read of the connection. The beginning of a line, which
// a read keeps while it waits for the rest, does not count.
func (c *Conn) HasInput() bool {
	return socket.HasUnread(c.raw)
}

// HasEnded reports whether the endpoint has ended the connection and nothing is left to read.
func (c *Conn) HasEnded() bool {
	return !c.HasInput() && !socket.IsSilent(c.raw)
}

// SetDeadline sets the time after which reads and writes fail. The zero time means no deadline.
func (c *Conn) SetDeadline(at time.Time) error {
	return c.raw.SetDeadline(at)
}

// SetReadDeadline sets the time after which reads fail, unless the function set with OnReadTimeout
// lets them go on. The zero time means no deadline. Once a read has failed, all later ones do.
func (c *Conn) SetReadDeadline(at time.Time) error {
	return c.raw.SetReadDeadline(at)
}

// OnReadTimeout sets the function that decides about reads that have reached their deadline, nil if
// they fail. It holds for one request.
func (c *Conn) OnReadTimeout(decide TimeoutFunc) {
	c.reads.onTimeout = decide
}

// Send writes a request. sent reports whether any byte may have been sent, even if err is not
// nil.
func (c *Conn) Send(head, body []byte) (sent bool, err error) {
	written, err := c.writer.WriteAll(net.Buffers{head, body})
	return written > 0, err
}

// ReadResponse reads the header of the response to the request with the given ID. It skips
// interim responses and responses to earlier requests, up to maxStaleResponses in total. Errors
// have the code code.EndpointFault and wrap that of the connection, if it failed.
func (c *Conn) ReadResponse(method, id string) (*http.Response, platform.ResponseInfo, error) {
	for range maxStaleResponses + 1 {
		c.limiter.begin()
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		c.limiter.end()
		if err != nil {
			return nil, platform.ResponseInfo{}, code.Wrap(c.sticky.cause(err), code.EndpointFault, "the response could not be read")
		}
		if !httpstatus.IsValid(response.StatusCode) {
			return nil, platform.ResponseInfo{}, code.New(code.EndpointFault, "the status %03d is not valid", response.StatusCode)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		c.replaceBody(response)
		info := platform.DecodeResponse(response)
		if info.ID == id {
			return response, info, nil
		}
		if err := Discard(response); err != nil {
			return nil, platform.ResponseInfo{}, code.Wrap(err, code.EndpointFault, "a response to another request broke off")
		}
	}
	return nil, platform.ResponseInfo{}, code.New(code.EndpointFault, "the responses belong to other requests")
}

// replaceBody replaces the body of a response in chunks by one that holds nothing back, and that of a response
// which ends with its connection by one that is complete only if the endpoint has closed that in order.
func (c *Conn) replaceBody(response *http.Response) {
	switch {
	case response.Body == http.NoBody:
	case len(response.TransferEncoding) > 0:
		response.Body = &chunkedBody{source: c.reader}
	case EndsWithConnection(response):
		response.Body = &closeDelimitedBody{ReadCloser: response.Body, writer: c.writer}
	}
}

// EndsWithConnection reports whether a response has neither a length nor chunks, so that the end of
// its connection is the end of its body.
func EndsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// beginRequest prepares an idle connection for the next request.
func (c *Conn) beginRequest(now clock.Boot) {
	c.reads.received = false
	c.wasIdle, c.idleFor = true, now.Sub(c.idleSince)
}

// PrepareReuse must be called after a complete response was read. It reports whether the
// connection may be reused, and prepares it for that.
func (c *Conn) PrepareReuse(response *http.Response, info platform.ResponseInfo) bool {
	if response.Close || c.sticky.err != nil || c.reader.Buffered() > 0 || EndsWithConnection(response) {
		return false
	}
	if err := c.raw.SetDeadline(time.Time{}); err != nil {
		return false
	}
	c.reads.onTimeout = nil
	keep := defaultIdleTimeout
	if info.IdleTimeout > 0 {
		keep = info.IdleTimeout - idleTimeoutMargin
	}
	c.reused, c.idleSince = true, clock.Now()
	c.idleDeadline = c.idleSince.Add(keep)
	return keep > 0
}
