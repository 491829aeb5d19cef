package source

import "encoding/json"

// Value is one published document.
type Document struct {
	// Key names the document.
	Key string `json:"key"`
	// Version rises with each write of the key, also through a deletion.
	Version int64 `json:"version"`
	// Deleted marks a deletion; Data is then empty.
	Deleted bool `json:"deleted,omitempty"`
	// Data is the document.
	Data json.RawMessage `json:"data,omitempty"`
}
