package standin

import "time"

// The usual options of stand-ins.
const (
	DefaultTokenInterval = 2 * time.Millisecond
	DefaultCacheTokens   = 200_000
	DefaultKeepStreams   = 30 * time.Second
	DefaultKeepAlive     = time.Second
	DefaultDelay         = 5 * time.Millisecond
)
