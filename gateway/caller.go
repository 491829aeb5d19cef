package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/httpguard"
	"cardamompoint.example/cardamompoint/platform"
)

const (
	// leaseMargin is kept to the end of the key lease.
	leaseMargin = 150 * time.Millisecond
	// retryAfterShort and retryAfterStale are when a refused caller should ask again: at
	// another VM, or when this one may know more.
	retryAfterShort = 100 * time.Millisecond
	retryAfterStale = 500 * time.Millisecond
	// defaultMaxBodyBytes bounds a body while the configuration tells no limit.
	defaultMaxBodyBytes = 4 << 20
)

// serveCaller serves one request of a caller.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	c := &call{gateway: g, w: w, r: r, arrived: clock.Now()}
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	defer c.logRequest()
	defer c.releaseQuota()
	c.setWriteDeadline(refusalWriteTimeout)
	if err := c.prepare(); err != nil {
		c.refuse(err)
		return
	}
	c.setWriteDeadline(c.timeout)
	c.run()
}

const (
	// refusalWriteTimeout bounds the write of a refusal.
	refusalWriteTimeout = 5 * time.Second
	// writeMargin is added to the caller's time for the end of an answer.
	writeMargin = time.Second
)

// setWriteDeadline ends the connection of a caller that does not read the answer
// within limit from now; 0 means no bound. The bound of the request before on
// this connection is replaced.
func (c *call) setWriteDeadline(limit time.Duration) {
	deadline := time.Time{}
	if limit > 0 {
		deadline = time.Now().Add(limit + writeMargin)
	}
	if err := http.NewResponseController(c.w).SetWriteDeadline(deadline); err != nil {
		c.detail = "the writes can't be bounded"
	}
}

// call is one request of a caller.
type call struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	arrived clock.Boot

	request traffic.Request
	body    []byte
	// bodyBytes is the room that the body takes.
	bodyBytes int64
	// responseBytes is the room that answers of endpoints take.
	responseBytes int64
	grant         grant

	// timeout is how long the caller is kept waiting at most; 0 means no bound.
	timeout time.Duration
	tried   []string
	// prefillWaited is how long the request waited for reads of its shared parts.
	prefillWaited time.Duration
	// attempts counts the endpoints that were sent the request, runs those that may
	// have run it.
	attempts   int
	executions int
	// refusals counts the endpoints that refused it since they are full.
	refusals int
	// lastFailure is the last failure that an endpoint answered.
	lastFailure *bufferedResponse
	// headerSent tells that the answer's header is out, lastEventID the last event.
	headerSent  bool
	lastEventID []byte

	// attemptStarted is when the last attempt began, firstEventAt when the first event of a
	// stream went out.
	attemptStarted clock.Boot
	firstEventAt   clock.Boot

	// events counts the pieces of a stream that went out.
	events      int
	lastEventAt clock.Boot
	longestGap  time.Duration

	result         code.Code
	status         int
	attemptRecords []attemptRecord
	detail         string
}

// grant is what a configuration allows a request.
type grant struct {
	version   int64
	route     *traffic.Route
	workspace *traffic.Workspace
	service   string
}

// prepare reads the request and finds what the configuration allows.
func (c *call) prepare() error {
	request, err := platform.DecodeRequest(c.r.Header)
	c.request = request
	if err != nil {
		return err
	}
	c.lastEventID = []byte(request.LastEventID)
	snapshot := c.gateway.tracker.Snapshot()
	if err := c.authorize(snapshot); err != nil {
		return err
	}
	if err := c.readBody(snapshot.Configuration.Limits.BodyBytes); err != nil {
		return err
	}
	c.timeout = c.grant.route.Timeout
	if limit := request.Timeout; limit > 0 && (c.timeout <= 0 || limit < c.timeout) {
		c.timeout = limit
	}
	return nil
}

// authorize finds the route and the workspace in a snapshot. A refusal that
// newer knowledge could turn over is only made on fresh knowledge.
func (c *call) authorize(snapshot *knowledge.Snapshot) error {
	configuration := snapshot.Configuration
	if configuration == nil {
		return code.New(code.NotReady, "no configuration is known yet").After(retryAfterStale)
	}
	if c.grant.version == configuration.Version {
		return c.checkLease()
	}
	route := configuration.Match(c.r.Host, c.r.URL.EscapedPath())
	if route == nil {
		return c.definitive(code.New(code.UnknownRoute, "no route has this host and path"))
	}
	next := grant{version: configuration.Version, route: route}
	if configuration.HasWorkspaces && !route.Public {
		next.workspace = configuration.Workspaces[c.request.Key]
		if next.workspace == nil {
			return c.definitive(code.New(code.UnknownKey, "the key is not known"))
		}
	}
	next.service = route.PickService(serviceHash(&c.request))
	if c.grant.service != "" && route.Includes(c.grant.service) {
		next.service = c.grant.service
	}
	c.grant = next
	return c.checkLease()
}

// definitive returns err if the knowledge is fresh, and otherwise a refusal that
// lets the caller come back.
func (c *call) definitive(err *code.Error) error {
	maxDelay := c.gateway.bounds.Load().MaxConfigDelay
	if age := c.gateway.tracker.Age(clock.Now()); maxDelay > 0 && age > maxDelay+maxDelay/2 {
		return code.New(code.ViewStale, "the configuration was confirmed %v ago", age.Round(time.Millisecond)).After(retryAfterStale)
	}
	return err
}

// checkLease refuses requests with a key when a newer configuration could have
// revoked it.
func (c *call) checkLease() error {
	bounds := c.gateway.bounds.Load()
	if c.grant.workspace == nil || !bounds.StrictRevoke || bounds.KeyLease <= 0 {
		return nil
	}
	age := c.gateway.tracker.Age(clock.Now())
	if age < bounds.KeyLease-leaseMargin {
		return nil
	}
	return code.New(code.ViewStale, "keys can't be checked, the configuration was confirmed %v ago", age.Round(time.Millisecond)).After(retryAfterStale)
}

// readBody reads the whole body, so that it can be sent more than once.
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
	body, err := readAll(http.MaxBytesReader(c.w, c.r.Body, limit), c.r.ContentLength)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return code.New(code.BodyTooLarge, "the body is longer than %d bytes", limit)
	}
	if errors.Is(err, httpguard.ErrMalformedBody) {
		return code.Wrap(err, code.BadRequest, "the body can't be read")
	}
	if err != nil {
		return code.Wrap(err, code.Canceled, "the body broke off")
	}
	c.body = body
	return nil
}

// reserveBody reserves room for the body, or for the largest one if its size is
// not told.
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

func (c *call) releaseQuota() {
	c.gateway.bodyQuota.release(c.bodyBytes)
	c.gateway.responseQuota.release(c.responseBytes)
}

// readAll reads source to its end; size is its expected size, or negative.
func readAll(source io.Reader, size int64) ([]byte, error) {
	if size < 0 {
		return io.ReadAll(source)
	}
	body := make([]byte, size)
	_, err := io.ReadFull(source, body)
	return body, err
}

// timeLeft returns how much of the caller's time is left; bounded is false if there
// is no limit.
func (c *call) timeLeft() (left time.Duration, bounded bool) {
	if c.timeout <= 0 {
		return 0, false
	}
	return c.timeout - clock.Now().Sub(c.arrived), true
}
