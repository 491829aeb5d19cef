package template

// Priority is the priority class of a model request.
type Priority string

// The priority classes, most urgent first.
const (
	// PriorityTag is for short tags on notes and photos.
	PriorityTag Priority = "tag"
	// PriorityChat is for chat replies.
	PriorityChat Priority = "chat"
	// PriorityLong is for long answers, such as rosters and dossiers.
	PriorityLong Priority = "long"
)

// Valid reports whether p is a known priority class.
func (p Priority) Valid() bool {
	switch p {
	case PriorityTag, PriorityChat, PriorityLong:
		return true
	}
	return false
}
