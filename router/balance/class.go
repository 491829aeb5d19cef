package balance

import "cardamompoint.example/cardamompoint/router/template"

// The utilization of an engine's caps, from 0 to 1, up to which requests of a
// priority class are admitted. The capacity above is reserved for more urgent
// classes, so that tags and chat replies don't wait behind long work.
const (
	longCeiling = 0.75
	chatCeiling = 0.9
	tagCeiling  = 1.0
	// tagReserve is the fraction of the caps that is reserved for tags. Each
	// workspace's tags have a fair share of it, whatever else the workspace runs.
	tagReserve = tagCeiling - chatCeiling
)

// lendingCeiling is the utilization of an engine, from 0 to 1, up to which a
// workspace may exceed its fair share. The capacity above is reserved for
// workspaces below their fair share: capacity up to this ceiling is available to
// them at once, and the rest within one service time.
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
