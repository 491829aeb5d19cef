package endpoint

// Call is one call to a plain service.
type Call struct {
	// RequestID identifies the call in the service's log.
	RequestID string `json:"request_id"`
	// Workspace is the workspace that the call belongs to.
	Workspace string `json:"workspace"`
	// Method is the HTTP method.
	Method string `json:"method"`
	// Path is the path, including the query.
	Path string `json:"path"`
	// Body is the unchanged request body.
	Body []byte `json:"body,omitempty"`
	// ContentType is the content type of the body.
	ContentType string `json:"content_type,omitempty"`
	// Fence is the fencing token of the call's work, in milliseconds since 1970;
	// 0 means none. Services may ignore it.
	Fence int64 `json:"fence,omitempty"`
}

// Answer is the answer of a plain service.
type Answer struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// ContentType is the content type of the body.
	ContentType string `json:"content_type,omitempty"`
	// Body is the complete body.
	Body []byte `json:"body,omitempty"`
	// Endpoint is the address of the endpoint that answered.
	Endpoint string `json:"endpoint"`
}
