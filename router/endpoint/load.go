package endpoint

// Load is an endpoint's report of its own load. It lags behind the actual load.
type Load struct {
	// Requests is the number of requests in progress.
	Requests int `json:"requests"`
	// Tokens is the number of tokens that these requests are still expected to
	// take.
	Tokens int `json:"tokens"`
	// Models are the loaded models.
	Models []string `json:"models,omitempty"`
	// Leaving reports whether the endpoint accepts no new work because it is
	// leaving.
	Leaving bool `json:"leaving,omitempty"`
}
