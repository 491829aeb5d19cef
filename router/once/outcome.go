package once

import (
	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/endpoint"
)

// Outcome is the end of one piece of work: an answer or an error.
type Outcome struct {
	// Answer is the endpoint's answer.
	Answer *endpoint.Answer `json:"answer,omitempty"`
	// Error is the numbered result if there is no answer.
	Error *code.Error `json:"error,omitempty"`
	// Holder is the process that has the key if it is not the one that was
	// asked.
	Holder *Holder `json:"holder,omitempty"`
}
