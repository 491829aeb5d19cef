package configcheck

// Difference is one change between two versions of a configuration.
type Difference struct {
	// Change is ChangeAdded, ChangeRemoved or ChangeModified.
	Change Change `json:"change"`
	// Entry names the entry, such as a route.
	Entry string `json:"entry"`
	// Field is the name of the field, "" for an entry that was added or removed.
	Field string `json:"field,omitempty"`
	// Old and New are the values, "none" for an entry that does not exist in a version.
	Old string `json:"old"`
	New string `json:"new"`
}

// String returns the difference as one line.
func (d Difference) String() string {
	subject := d.Entry
	if d.Field != "" {
		subject += " " + d.Field
	}
	return string(d.Change) + ": " + subject + ": " + d.Old + " -> " + d.New
}
