package traffic

// PublishedWorkspace is a workspace with the keys that the document lists for it.
type PublishedWorkspace struct {
	*Workspace
	Keys []string
}
