package router

import "cardamompoint.example/cardamompoint/router/endpoint"

// receiver consumes the answer to a request as it is generated.
type receiver interface {
	// started is called before the first line of each attempt.
	started(attempt) error
	// alive is called when the answer is in progress but no token arrived.
	alive() error
	// token is called for each token in order.
	token(line endpoint.Line) error
	// finished is called after the last token.
	finished(final endpoint.Final) error
	// resumable reports whether the caller can resume the answer after a
	// disconnect.
	resumable() bool
}
