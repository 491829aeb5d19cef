package once

import (
	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/endpoint"
)

// Outcome is the result of one piece of work: an answer or an error.
type Outcome struct {
	// Answer is the endpoint's answer.
	Answer *endpoint.Answer `json:"answer,omitempty"`
	// Error is the result code if there is no answer.
	Error *code.Error `json:"error,omitempty"`
	// Holder is the process that holds the key, if it is not the one that was
	// asked.
	Holder *Holder `json:"holder,omitempty"`
}
