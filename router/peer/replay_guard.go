package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/code"
)

// Guard refuses requests that were signed for another receiver, too long ago,
// or that came before. It is safe for concurrent use. Its memory is bounded by
// the requests of two windows.
type ReplayGuard struct {
	address string
	window  time.Duration

	mu      sync.Mutex
	turned  time.Time
	current map[string]struct{}
	older   map[string]struct{}
}

// NewGuard returns a Guard for the receiver with the given address. Requests
// whose time differs by more than window from the own wall clock are refused:
// window is the largest clock skew plus the longest way of a message.
func NewReplayGuard(address string, window time.Duration) *ReplayGuard {
	return &ReplayGuard{address: address, window: window, current: map[string]struct{}{}}
}

type guardKey struct{}

// Protect returns a handler whose requests are checked by the guard wherever
// their signature is verified.
func (g *ReplayGuard) Protect(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), guardKey{}, g)))
	})
}

// guardOf returns the guard of the request's handler, which may be nil.
func guardOf(r *http.Request) *ReplayGuard {
	guard, _ := r.Context().Value(guardKey{}).(*ReplayGuard)
	return guard
}

// check returns a PeerRejected error unless the signature is for this receiver,
// of this time and new. A nil Guard checks nothing.
func (g *ReplayGuard) check(host string, s signature, now time.Time) error {
	if g == nil {
		return nil
	}
	if host != g.address {
		return code.New(code.PeerRejected, "the message was signed for %s", host)
	}
	signed := time.UnixMilli(s.millis)
	if signed.Before(now.Add(-g.window)) || signed.After(now.Add(g.window)) {
		return code.New(code.PeerRejected, "the message was signed %v away from the own clock", now.Sub(signed))
	}
	if !g.remember(s.digest, now) {
		return code.New(code.PeerRejected, "the message came before")
	}
	return nil
}

// remember keeps a digest for at least twice the window and reports whether it
// is new.
func (g *ReplayGuard) remember(digest string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.turned) > 2*g.window {
		g.older, g.current, g.turned = g.current, map[string]struct{}{}, now
	}
	if _, ok := g.older[digest]; ok {
		return false
	}
	if _, ok := g.current[digest]; ok {
		return false
	}
	g.current[digest] = struct{}{}
	return true
}
