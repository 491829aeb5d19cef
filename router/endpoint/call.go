package endpoint

// Call is one call of a plain service.
type Call struct {
	// RequestID identifies the call in the service's log.
	RequestID string `json:"request_id"`
	// Workspace is whose call it is.
	Workspace string `json:"workspace"`
	// Method is the HTTP method.
	Method string `json:"method"`
	// Path is the path with its query.
	Path string `json:"path"`
	// Body is the body as it came.
	Body []byte `json:"body,omitempty"`
	// ContentType is the body's type.
	ContentType string `json:"content_type,omitempty"`
	// Fence is the fencing number of the call's work, in milliseconds since
	// 1970; 0 means none. Services may ignore it.
	Fence int64 `json:"fence,omitempty"`
}

// Answer is a plain service's answer.
type Answer struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// ContentType is the body's type.
	ContentType string `json:"content_type,omitempty"`
	// Body is the whole body.
	Body []byte `json:"body,omitempty"`
	// Endpoint is the worker that answered.
	Endpoint string `json:"endpoint"`
}
