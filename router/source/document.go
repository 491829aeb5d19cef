package source

import "encoding/json"

// Document is one published document.
type Document struct {
	// Key identifies the document.
	Key string `json:"key"`
	// Version rises with each write of the key, including deletions.
	Version int64 `json:"version"`
	// Deleted reports whether the document was deleted; Data is then empty.
	Deleted bool `json:"deleted,omitempty"`
	// Data is the document's JSON content.
	Data json.RawMessage `json:"data,omitempty"`
}
