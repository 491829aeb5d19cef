package httpguard

import "time"

// Limits bound a request head.
type Limits struct {
	// HeadBytes bounds the request line, and the lines behind it together, in
	// bytes; at most CeilingBytes/2.
	HeadBytes int
	// HeadTime bounds the time from a head's first byte to its last one; 0 means
	// no bound.
	HeadTimeout time.Duration
}
