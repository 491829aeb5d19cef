package balance

import "cardamompoint.example/cardamompoint/router/template"

// The parts of an engine's caps up to which a class is admitted. What is above
// is kept for more urgent classes, so that tags and chat replies are not held
// up behind long work.
const (
	longCeiling = 0.75
	chatCeiling = 0.9
	tagCeiling  = 1.0
	// tagReserve is the part of the caps in which a workspace's tags have a fair
	// part of their own, whatever else the workspace runs.
	tagReserve = tagCeiling - chatCeiling
)

// lendingCeiling is the part of an engine's caps up to which a workspace may
// use room above its fair part. What is above is kept for workspaces below
// theirs, so that lent room comes back at once up to here and within one
// service time for the rest.
const lendingCeiling = 0.5

func classCeiling(priority template.Priority) float64 {
	switch priority {
	case template.PriorityTag:
		return tagCeiling
	case template.PriorityLong:
		return longCeiling
	}
	return chatCeiling
}
