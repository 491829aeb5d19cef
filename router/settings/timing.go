package settings

// Timing holds periods and timeouts, all in milliseconds.
type Timing struct {
	// HeartbeatMS is the period of heartbeats to each peer. Shorter periods detect
	// failures sooner and cause more control traffic.
	HeartbeatMS int `json:"heartbeat_ms"`
	// SuspectMS is the time after which a peer that does not answer counts as
	// unreachable.
	SuspectMS int `json:"suspect_ms"`
	// PollMS bounds the age of data read from the platform when no watch answers.
	PollMS int `json:"poll_ms"`
	// LoadReportMS is the period of reading an engine's load report.
	LoadReportMS int `json:"load_report_ms"`
	// RequestMS limits the time of a request for which the caller gives no limit.
	RequestMS int `json:"request_ms"`
	// ProgressMS is the longest silence of an answer in progress before the
	// connection is abandoned and another one is tried.
	ProgressMS int `json:"progress_ms"`
	// StallMS is the longest time that an engine that still responds may take
	// for one token, including the first, and that a reader may take for one write.
	// Higher values let requests queue at engines; lower ones abandon a hanging
	// engine sooner.
	StallMS int `json:"stall_ms"`
	// ResumeMS is how long a stream without a reader continues at its engine, so
	// that the caller can resume it. Longer times use engines for answers that may
	// never be resumed.
	ResumeMS int `json:"resume_ms"`
	// LingerMS is how long a router that is shutting down continues to accept
	// requests, so that the load balancer can notice that it is not ready.
	LingerMS int `json:"linger_ms"`
	// DrainMS limits how long requests in progress may take at shutdown.
	DrainMS int `json:"drain_ms"`
	// KeyWindowMS is how long a request may be repeated with its key, and how long
	// its outcome is kept.
	KeyWindowMS int `json:"key_window_ms"`
	// ClockSkewMS is the largest assumed difference between the wall clocks of two
	// VMs.
	ClockSkewMS int `json:"clock_skew_ms"`
}
