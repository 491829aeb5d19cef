package hosted

import (
	"net/http"
	"time"
)

// SeenRequest is a request that the endpoint has received.
type SeenRequest struct {
	ID          string
	Method      string
	Target      string
	Workspace   string
	Body        string
	LastEventID string
	Header      http.Header
	Executed    bool
	// Behavior is how the endpoint handled the request.
	Behavior Behavior
	// ReceivedAt is when the request was received.
	ReceivedAt time.Time
}
