package configcheck

// Change is how an entry differs between two versions of a configuration.
type Change string

// Values of Change.
const (
	ChangeAdded    Change = "added"
	ChangeRemoved  Change = "removed"
	ChangeModified Change = "changed"
)
