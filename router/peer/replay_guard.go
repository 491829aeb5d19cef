package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/code"
)

// ReplayGuard rejects requests that were signed for another receiver, signed
// outside the time window, or received before. It is safe for concurrent use. Its
// memory is bounded by the requests of two periods, each of twice the window.
type ReplayGuard struct {
	address string
	window  time.Duration

	mu sync.Mutex
	// rotatedAt is when current became previous.
	rotatedAt time.Time
	// current and previous are the digests seen in the current and the previous
	// period of two windows.
	current  map[string]struct{}
	previous map[string]struct{}
}

// NewReplayGuard returns a ReplayGuard for the receiver with the given address.
// Requests signed more than window before or after the receiver's wall clock are
// rejected: window is the largest clock skew plus the longest delay of a message.
func NewReplayGuard(address string, window time.Duration) *ReplayGuard {
	return &ReplayGuard{address: address, window: window, current: map[string]struct{}{}}
}

// replayGuardKey is the context key of a request's ReplayGuard.
type replayGuardKey struct{}

// Protect returns a handler whose requests the guard checks when their signature is
// verified.
func (g *ReplayGuard) Protect(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), replayGuardKey{}, g)))
	})
}

// replayGuardOf returns the guard of the request's handler, or nil.
func replayGuardOf(r *http.Request) *ReplayGuard {
	guard, _ := r.Context().Value(replayGuardKey{}).(*ReplayGuard)
	return guard
}

// check returns a PeerRejected error unless the signature is for this receiver,
// within the time window and new. A nil ReplayGuard accepts everything.
func (g *ReplayGuard) check(host string, s signature, now time.Time) error {
	if g == nil {
		return nil
	}
	if host != g.address {
		return code.New(code.PeerRejected, "the message was signed for %s", host)
	}
	signed := time.UnixMilli(s.sentAtMillis)
	if signed.Before(now.Add(-g.window)) || signed.After(now.Add(g.window)) {
		return code.New(code.PeerRejected, "the message was signed %v before the receiver's time", now.Sub(signed))
	}
	if !g.remember(s.digest, now) {
		return code.New(code.PeerRejected, "the message was received before")
	}
	return nil
}

// remember stores a digest for at least twice the window and reports whether it is
// new.
func (g *ReplayGuard) remember(digest string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.rotatedAt) > 2*g.window {
		g.previous, g.current, g.rotatedAt = g.current, map[string]struct{}{}, now
	}
	if _, ok := g.previous[digest]; ok {
		return false
	}
	if _, ok := g.current[digest]; ok {
		return false
	}
	g.current[digest] = struct{}{}
	return true
}
