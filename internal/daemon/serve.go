// Package daemon runs HTTP servers until a signal arrives.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	readHeaderTimeout = 10 * time.Second
	closeTimeout      = 2 * time.Second
)

// Serve serves handler at address until ctx ends, and then shuts the server down within
// closeTimeout.
func Serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "can't listen on the address")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return eris.Wrap(err, "the server failed")
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := server.Shutdown(stop); !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return server.Close()
}
