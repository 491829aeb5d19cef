package endpoint

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/httpstatus"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
	"cardamompoint.example/cardamompoint/internal/socket"
)

// The headers of calls to plain services. The service must return RequestHeader
// with its answer. RequestHeader is not Idempotency-Key because that header makes
// http.Transport retry requests.
const (
	RequestHeader   = "X-Request-Id"
	WorkspaceHeader = "X-Workspace"
	// FenceHeader carries the fencing token of work that may not be repeated. A
	// service may refuse a token that is lower than one that it has seen for the
	// same work.
	FenceHeader = "X-Fencing-Number"
	// KeyDigestHeader identifies the work that the fencing token belongs to.
	KeyDigestHeader = "X-Work-Digest"
)

const maxAnswerBytes = 16 << 20

// ServiceClient implements Service over HTTP. It is safe for concurrent use.
type ServiceClient struct {
	http *http.Client
}

// NewServiceClient returns a ServiceClient that uses a copy of transport. The
// copy opens a new connection for each call, so that no call is sent on a dead
// idle connection, and takes no connection that is reset for one that ends.
func NewServiceClient(transport *http.Transport) *ServiceClient {
	fresh := transport.Clone()
	fresh.DisableKeepAlives = true
	fresh.DialContext = checkEnds(fresh.DialContext)
	return &ServiceClient{http: &http.Client{Transport: fresh, CheckRedirect: returnRedirect}}
}

// dialFunc is the type of http.Transport.DialContext.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// checkEnds returns a function that dials with dial, or with a net.Dialer if that is nil, and returns connections whose
// reads tell a reset from an end.
func checkEnds(dial dialFunc) dialFunc {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return socket.NewConn(conn), nil
	}
}

// returnRedirect makes http.Client return redirects instead of following them.
func returnRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Call implements Service.
func (c *ServiceClient) Call(ctx context.Context, address string, call Call) (Answer, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, code.Wrap(err, code.BadRequest, "the call is not a valid HTTP request")
	}
	request.GetBody = nil
	request.Header.Set(RequestHeader, call.RequestID)
	request.Header.Set(WorkspaceHeader, call.Workspace)
	if call.Fence > 0 {
		request.Header.Set(FenceHeader, strconv.FormatInt(call.Fence, 10))
		request.Header.Set(KeyDigestHeader, call.Digest())
	}
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Answer{}, callError(jsonhttp.SendError(err))
	}
	defer response.Body.Close()
	return readAnswer(response, address, call.RequestID)
}

// callError converts a failed dial to NotSent, which proves that the call did not
// run.
func callError(failure *code.Error) *code.Error {
	if failure.Code == code.PeerUnreachable {
		return code.Wrap(failure, code.NotSent, "no connection to the endpoint")
	}
	return failure
}

func readAnswer(response *http.Response, address, requestID string) (Answer, error) {
	if got := response.Header.Get(RequestHeader); got != requestID {
		return Answer{}, code.New(code.EndpointFault, "the answer belongs to request %q", got)
	}
	if !httpstatus.IsValid(response.StatusCode) {
		return Answer{}, code.New(code.EndpointFault, "the status %03d of the answer is not valid", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return Answer{}, code.Wrap(err, code.EndpointFault, "the answer was interrupted")
	}
	if len(body) > maxAnswerBytes {
		return Answer{}, code.New(code.EndpointFault, "the answer has more than %d bytes", maxAnswerBytes)
	}
	return Answer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
		Endpoint:    address,
	}, nil
}

// Load implements Service.
func (c *ServiceClient) Load(ctx context.Context, address string) (Load, error) {
	var load Load
	err := jsonhttp.Get(ctx, c.http, "http://"+address+"/v1/load", &load)
	return load, err
}
