package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/httpguard"
)

// defaultMaxBodyBytes bounds a request body if the configuration has no limit.
const defaultMaxBodyBytes = 4 << 20

// readBody reads the complete body, so that the request can be sent more than once.
func (c *call) readBody(limit int64) error {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if c.r.ContentLength > limit {
		return code.New(code.BodyTooLarge, "the body is longer than %d bytes", limit)
	}
	if c.r.ContentLength == 0 || c.r.Body == nil || c.r.Body == http.NoBody {
		return nil
	}
	if err := c.reserveBody(limit); err != nil {
		return err
	}
	if left, bounded := c.timeLeft(); bounded {
		c.setBodyDeadline(time.Now().Add(left))
	}
	body, err := readAll(http.MaxBytesReader(c.w, c.r.Body, limit), c.r.ContentLength)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return code.New(code.BodyTooLarge, "the body is longer than %d bytes", limit)
	}
	if errors.Is(err, httpguard.ErrMalformedBody) {
		return code.Wrap(err, code.BadRequest, "the body can't be read")
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return code.New(code.BodyTimeout, "the body is incomplete at the end of the request's time")
	}
	if err != nil {
		return code.Wrap(err, code.Canceled, "the body is incomplete")
	}
	c.setBodyDeadline(time.Time{}) // net/http goes on reading, to notice that the caller leaves.
	c.body = body
	return nil
}

// setBodyDeadline sets the deadline for reading the body; the zero time means none. net/http removes it
// before the next request.
func (c *call) setBodyDeadline(deadline time.Time) {
	if err := http.NewResponseController(c.w).SetReadDeadline(deadline); err != nil {
		c.detail = "the read deadline could not be set"
	}
}

// reserveBody reserves quota for the body: its size, or the largest permitted size if its size
// is not known.
func (c *call) reserveBody(limit int64) error {
	size := c.r.ContentLength
	if size < 0 {
		size = limit
	}
	if err := c.gateway.bodyQuota.reserve(size); err != nil {
		return err
	}
	c.bodyBytes = size
	return nil
}

// releaseQuota returns the quota that the call has reserved.
func (c *call) releaseQuota() {
	c.gateway.bodyQuota.release(c.bodyBytes)
	c.gateway.responseQuota.release(c.responseBytes)
}

// readAll reads source to its end. size is the expected size, or negative if it is not known.
func readAll(source io.Reader, size int64) ([]byte, error) {
	if size < 0 {
		return io.ReadAll(source)
	}
	body := make([]byte, size)
	_, err := io.ReadFull(source, body)
	return body, err
}
