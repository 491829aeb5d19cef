package once

import "strconv"

// The model enumerates every interleaving of attempts, clearance requests,
// releases, delays, sends, crashes and list changes for one key. The granters'
// decisions are made by the package's own code, except under a weakened rule.

const (
	modelRouters   = 4
	modelExecutors = 2
	modelAttempts  = 2
	// maxModelStates bounds the search; reaching it fails the test.
	maxModelStates = 3_000_000
)

// ruleVariant is the full rule or a deliberately weakened one. The model must
// find a double execution under each weakened rule.
type ruleVariant string

const (
	fullRule           ruleVariant = "none"
	noClearance        ruleVariant = "no clearance"
	youngGrantersCount ruleVariant = "young granters count"
	processAgeCounts   ruleVariant = "the age of the process counts instead of that of its membership"
	recordAfterSend    ruleVariant = "check before sending, record after sending"
	releaseAnyAttempt  ruleVariant = "a release releases a later attempt"
	grantOldAttempts   ruleVariant = "an abandoned attempt is granted again"
	incarnationIgnored ruleVariant = "a restarted executor is the same process"
	listsUnchecked     ruleVariant = "lists may differ by any number"
)

// scenario defines the events that may happen in the model.
type scenario struct {
	name string
	// lists are the two versions of the list of routers.
	lists [2][]string
	// quorum returns the quorum of a list of the given length; nil means Quorum.
	quorum func(int) int
	// initialViews are the list versions that the routers start with.
	initialViews [modelRouters]int8
	// attempts bounds the attempts of the first executor. The second executor has
	// one attempt, which it abandons by never continuing.
	attempts int8
	// crashes bounds the number of restarts.
	crashes int8
	rule    ruleVariant
}

func (s *scenario) quorumOf(version int8) int {
	n := len(s.lists[version])
	if s.quorum != nil {
		return s.quorum(n)
	}
	return Quorum(n)
}

func (s *scenario) maxAttempts(executor int) int8 {
	if executor == 0 {
		return s.attempts
	}
	return 1
}

func (s *scenario) inVersion(version int8, router int) bool {
	for _, member := range s.lists[version] {
		if member == strconv.Itoa(router) {
			return true
		}
	}
	return false
}

// quorumsOverlap is QuorumsOverlap with the scenario's quorums.
func (s *scenario) quorumsOverlap(a, b int8) bool {
	if s.rule == listsUnchecked {
		return true
	}
	union := map[string]bool{}
	for _, member := range append(append([]string{}, s.lists[a]...), s.lists[b]...) {
		union[member] = true
	}
	return s.quorumOf(a)+s.quorumOf(b) > len(union)
}

func majority(n int) int { return n/2 + 1 }

func half(n int) int { return n / 2 }

// The scenarios that the tests explore.
var (
	threeRouters = scenario{name: "3 routers, majority", lists: [2][]string{{"0", "1", "2"}, {"0", "1", "2"}}, quorum: majority, initialViews: [modelRouters]int8{1, 1, 1, 1}, attempts: 2, crashes: 1}
	oneReplaced  = scenario{name: "4 routers, one replaced, any lag", lists: [2][]string{{"0", "1", "2"}, {"1", "2", "3"}}, initialViews: [modelRouters]int8{0, 0, 0, 1}, attempts: 1, crashes: 1}
	grown        = scenario{name: "4 routers, grown from one", lists: [2][]string{{"0"}, {"0", "1", "2", "3"}}, attempts: 1, crashes: 1}
	swapped      = scenario{name: "4 routers, all replaced", lists: [2][]string{{"0", "2"}, {"1", "3"}}, attempts: 1, crashes: 1}
)
