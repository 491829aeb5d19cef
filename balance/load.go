package balance

// ModelLoad is the load that one router counts for one model.
type ModelLoad struct {
	// Tokens is the number of tokens expected in progress.
	Tokens int `json:"t"`
	// Requests is the number of requests in progress.
	Requests int `json:"r"`
}
