package once

import "strconv"

// The model enumerates every interleaving of repeats, requests for clearance,
// releases, sleeps, sends, crashes and list changes for one key. What
// a granter decides is the package's own code, but for a weakened rule.

const (
	modelRouters   = 4
	modelExecutors = 2
	modelAttempts  = 2
	// maxModelStates bounds the search; reaching it fails the test.
	maxModelStates = 3_000_000
)

// weakness is a way in which the rule is broken on purpose.
type weakness string

const (
	soundRule          weakness = "none"
	noClearance        weakness = "no clearance"
	youngCount         weakness = "young granters count"
	processAgeCounts   weakness = "the age of the process counts, not of its membership"
	recordAfterSend    weakness = "check before the send, record after it"
	releaseAnyAttempt  weakness = "a release frees a later attempt"
	grantOldAttempts   weakness = "an attempt that was given up is granted again"
	incarnationIgnored weakness = "a restarted executor is the same process"
	listsUnchecked     weakness = "lists may differ by any number"
)

// scenario bounds what may happen.
type scenario struct {
	name string
	// lists are the two versions of the list.
	lists [2][]string
	// quorum of a list's length; nil means Quorum.
	quorum func(int) int
	// views are the versions that the routers begin with.
	views [modelRouters]int8
	// attempts bounds the attempts of the first executor. The second one has one
	// and gives up by never going on.
	attempts int8
	// crashes bounds the number of restarts.
	crashes int8
	rule    weakness
}

func (s *scenario) need(version int8) int {
	n := len(s.lists[version])
	if s.quorum != nil {
		return s.quorum(n)
	}
	return Quorum(n)
}

func (s *scenario) attemptsOf(executor int) int8 {
	if executor == 0 {
		return s.attempts
	}
	return 1
}

func (s *scenario) inList(version int8, router int) bool {
	for _, member := range s.lists[version] {
		if member == strconv.Itoa(router) {
			return true
		}
	}
	return false
}

// overlap is Overlap for the scenario's quorums.
func (s *scenario) overlap(a, b int8) bool {
	if s.rule == listsUnchecked {
		return true
	}
	union := map[string]bool{}
	for _, member := range append(append([]string{}, s.lists[a]...), s.lists[b]...) {
		union[member] = true
	}
	return s.need(a)+s.need(b) > len(union)
}

func majority(n int) int { return n/2 + 1 }

func half(n int) int { return n / 2 }

// The scenarios of the model.
var (
	threeRouters = scenario{name: "3 routers, majority", lists: [2][]string{{"0", "1", "2"}, {"0", "1", "2"}}, quorum: majority, views: [modelRouters]int8{1, 1, 1, 1}, attempts: 2, crashes: 1}
	oneReplaced  = scenario{name: "4 routers, one replaced, any lag", lists: [2][]string{{"0", "1", "2"}, {"1", "2", "3"}}, views: [modelRouters]int8{0, 0, 0, 1}, attempts: 1, crashes: 1}
	grown        = scenario{name: "4 routers, grown from one", lists: [2][]string{{"0"}, {"0", "1", "2", "3"}}, attempts: 1, crashes: 1}
	swapped      = scenario{name: "4 routers, all replaced", lists: [2][]string{{"0", "2"}, {"1", "3"}}, attempts: 1, crashes: 1}
)
