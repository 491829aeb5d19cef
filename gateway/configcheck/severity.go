package configcheck

// Severity is how serious a finding is.
type Severity string

// Values of Severity.
const (
	// SeverityError is for entries that can't have the effect that the document states.
	SeverityError Severity = "error"
	// SeverityWarning is for entries that are probably not intended.
	SeverityWarning Severity = "warning"
)
