package settings

// Timing holds periods and timeouts, all in milliseconds.
type Timing struct {
	// HeartbeatMS is the period between heartbeats to one peer. Shorter periods
	// detect failures sooner and cost control traffic.
	HeartbeatMS int `json:"heartbeat_ms"`
	// SuspectMS is how long a silent peer is waited for before it is treated
	// as unreachable.
	SuspectMS int `json:"suspect_ms"`
	// PollMS bounds the age of what is read from the platform when no watch answers.
	PollMS int `json:"poll_ms"`
	// LoadReportMS is the period between reads of an engine's load.
	LoadReportMS int `json:"load_report_ms"`
	// RequestMS is the longest time for one request, if the caller asks for none.
	RequestMS int `json:"request_ms"`
	// ProgressMS is the longest silence of an answer in progress before the
	// connection is abandoned and another one is tried.
	ProgressMS int `json:"progress_ms"`
	// StallMS is the longest time that an engine which still answers may take for
	// one token, the first one included, and that a reader may take for one write.
	// Higher values let requests queue at engines, lower ones leave an engine that
	// hangs sooner.
	StallMS int `json:"stall_ms"`
	// ResumeMS is how long a stream that nobody reads goes on at its engine, so
	// that the caller can resume it. Longer times use engines for answers that
	// nobody may come back for.
	ResumeMS int `json:"resume_ms"`
	// LingerMS is how long a router that shuts down goes on accepting requests,
	// while the balancer notices that it is not ready.
	LingerMS int `json:"linger_ms"`
	// DrainMS bounds how long requests in progress may take at shutdown.
	DrainMS int `json:"drain_ms"`
	// KeyWindowMS is how long a key may be repeated and its outcome is kept.
	KeyWindowMS int `json:"key_window_ms"`
	// ClockSkewMS bounds the difference between two VMs' wall clocks.
	ClockSkewMS int `json:"clock_skew_ms"`
}
