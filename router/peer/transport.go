package peer

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout     = 2 * time.Second
	idleTimeout     = 30 * time.Second
	idleConnections = 4
)

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns a transport that counts its bytes in bytes, which may
// be nil.
func NewTransport(bytes *ByteCounter) *http.Transport {
	return NewTransportWith(bytes, nil)
}

// NewTransportWith returns a transport that opens its connections with dial; a
// nil dial means TCP.
func NewTransportWith(bytes *ByteCounter, dial Dial) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil || bytes == nil {
				return conn, err
			}
			return &countedConn{Conn: conn, bytes: bytes}, nil
		},
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}
