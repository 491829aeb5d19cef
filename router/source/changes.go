package source

// Changes is the answer to a read of the published configuration.
type Changes struct {
	// Revision is the platform revision up to which the answer is complete.
	Revision int64 `json:"revision"`
	// Values are the documents that changed, each in its newest version.
	Values []Document `json:"values,omitempty"`
	// More reports whether the answer was truncated because of its size and
	// continues after Revision.
	More bool `json:"more,omitempty"`
}
