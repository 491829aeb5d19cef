package httpguard

import "time"

// Limits bound a request head.
type Limits struct {
	// HeadBytes bounds the request line and, separately, the sum of the header lines, in
	// bytes. It must be at most MaxHeadBytes/2.
	HeadBytes int
	// HeadTimeout bounds the time from the first byte of a head to its last; 0 means no
	// limit.
	HeadTimeout time.Duration
}
