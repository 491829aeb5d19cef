package endpoint

// Load is what an endpoint reports of itself, with a lag.
type Load struct {
	// Requests is the number of requests in progress.
	Requests int `json:"requests"`
	// Tokens is the number of tokens still expected of them.
	Tokens int `json:"tokens"`
	// Models are the models that are loaded.
	Models []string `json:"models,omitempty"`
	// Leaving tells that the endpoint takes no new work.
	Leaving bool `json:"leaving,omitempty"`
}
