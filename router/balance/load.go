package balance

// ModelLoad is a load in progress. Routers exchange one for each model; within a
// router it also counts the load of an engine or a workspace.
type ModelLoad struct {
	// Tokens is the number of tokens that the requests in progress are expected
	// to take.
	Tokens int `json:"t"`
	// Requests is the number of requests in progress.
	Requests int `json:"r"`
}

// plus returns the sum of both loads.
func (l ModelLoad) plus(other ModelLoad) ModelLoad {
	return ModelLoad{Tokens: l.Tokens + other.Tokens, Requests: l.Requests + other.Requests}
}

// minimum returns the smaller value of each field.
func (l ModelLoad) minimum(other ModelLoad) ModelLoad {
	return ModelLoad{Tokens: min(l.Tokens, other.Tokens), Requests: min(l.Requests, other.Requests)}
}
