package standin

import "time"

// Default options of the stand-ins.
const (
	DefaultTokenInterval     = 2 * time.Millisecond
	DefaultCacheTokens       = 200_000
	DefaultStreamRetention   = 30 * time.Second
	DefaultKeepAliveInterval = time.Second
	DefaultServiceDelay      = 5 * time.Millisecond
)
