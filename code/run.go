package code

// Run is what the sender of a result knows about the execution of the work.
type Run string

// The values of Run.
const (
	// RunYes means that the work was executed and its answer is known.
	RunYes Run = "run"
	// RunNo means that the work was not executed and never will be for this attempt.
	RunNo Run = "not run"
	// RunUnknown means that the work may or may not have been executed.
	RunUnknown Run = "outcome unknown"
	// RunPartial means that repeatable work was executed, but its answer is incomplete.
	RunPartial Run = "partly run"
)
