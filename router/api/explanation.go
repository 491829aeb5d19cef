package api

// Explanation describes how a chat would be routed now.
type Explanation struct {
	// Workspace is the workspace that the chat belongs to.
	Workspace string `json:"workspace"`
	// Chat is the chat's identifier within the workspace.
	Chat string `json:"chat"`
	// Model is the model that the template selects for the chat.
	Model string `json:"model"`
	// Candidates are the engines in the order in which they would be asked.
	Candidates []Candidate `json:"candidates"`
	// PassedOver are the engines of the model's group that are not candidates.
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
	// Reason explains the engine's position, or why it is not a candidate.
	Reason string `json:"reason"`
}
