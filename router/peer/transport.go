package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"cardamompoint.example/cardamompoint/internal/jsonhttp"
)

const (
	dialTimeout         = 2 * time.Second
	idleTimeout         = 30 * time.Second
	maxIdleConnsPerHost = 4
)

// Dial opens a connection, like net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns a transport that opens TCP connections and counts their
// bytes in counter, which may be nil.
func NewTransport(counter *ByteCounter) *http.Transport {
	return NewTransportWith(counter, nil)
}

// NewTransportWith is like NewTransport but opens connections with dial; a nil dial
// means TCP.
func NewTransportWith(counter *ByteCounter, dial Dial) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil || counter == nil {
				return conn, err
			}
			return &countedConn{Conn: conn, counter: counter}, nil
		},
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: jsonhttp.MaxHeaderBytes,
	}
}
