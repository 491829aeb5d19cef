package router

import "cardamompoint.example/cardamompoint/router/endpoint"

// receiver takes an answer in progress.
type receiver interface {
	// started is called before the first token of each stream's part.
	started(attempt) error
	// alive is called while the answer goes on without a token.
	alive() error
	// token is called for each token in order.
	token(line endpoint.Line) error
	// finished is called after the last token.
	finished(final endpoint.Final) error
	// resumable reports whether the caller can come back for the rest.
	resumable() bool
}
