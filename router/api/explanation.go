package api

// Explanation tells how a chat would be routed now.
type Explanation struct {
	// Workspace is whose chat it is.
	Workspace string `json:"workspace"`
	// Chat is the chat.
	Chat string `json:"chat"`
	// Model is the model that the template gives the chat.
	Model string `json:"model"`
	// Candidates are the engines in the order in which they would be asked.
	Candidates []Candidate `json:"candidates"`
	// PassedOver are the engines of the model's group that would not be asked.
	PassedOver []Candidate `json:"passed_over,omitempty"`
}

// Candidate is one engine of an Explanation.
type Candidate struct {
	// Engine is the engine's address.
	Engine string `json:"engine"`
	// FailureDomain is the engine's failure domain.
	FailureDomain string `json:"failure_domain"`
	// Home is the router that admits work to the engine.
	Home string `json:"home,omitempty"`
	// Reason tells why the engine is where it is.
	Reason string `json:"reason"`
}
