package source

// Changes is the answer of a watch or a whole read.
type Changes struct {
	// Revision is the platform's revision that the answer reaches.
	Revision int64 `json:"revision"`
	// Values are the documents that changed, each in its newest version.
	Values []Document `json:"values,omitempty"`
	// More tells that the answer was cut by size and goes on after Revision.
	More bool `json:"more,omitempty"`
}
