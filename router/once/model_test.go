package once

import (
	"strconv"
	"testing"
)

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

// modelYield is a yield that can be compared.
type modelYield struct {
	held, released            bool
	router, incarnation, turn int8
}

type modelGranter struct {
	incarnation, view int8
	young, joinedLate bool
	yield             modelYield
}

const (
	idle int8 = iota
	asking
	cleared
	sent
)

type modelExecutor struct {
	state, turn, view int8
	granted           uint8
	// incarnations are those that made each attempt.
	incarnations, views [modelAttempts]int8
}

// modelState is one state; the flights are sets of messages by target.
type modelState struct {
	granters       [modelRouters]modelGranter
	executors      [modelExecutors]modelExecutor
	asks, releases [modelExecutors][modelAttempts]uint8
	crashes, runs  int8
}

// explore returns the number of states and whether the work can run twice.
func explore(s *scenario) (states int, doubled bool) {
	var first modelState
	for i := range first.granters {
		first.granters[i].view = s.views[i]
		first.granters[i].joinedLate = !s.inList(s.views[i], i)
	}
	seen := map[modelState]bool{first: true}
	stack := []modelState{first}
	for len(stack) > 0 && len(seen) < maxModelStates {
		state := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if state.runs > 1 {
			return len(seen), true
		}
		s.successors(state, func(next modelState) {
			s.normalize(&next)
			if !seen[next] {
				seen[next] = true
				stack = append(stack, next)
			}
		})
	}
	return len(seen), false
}

// normalize drops what can have no effect any more: messages to routers that
// never vouch for the key again, and what such routers remember.
func (s *scenario) normalize(state *modelState) {
	for i := range state.granters {
		granter := &state.granters[i]
		if s.vouches(granter, i) || s.inList(1, i) && !granter.young && !granter.joinedLate {
			continue
		}
		if s.rule == youngCount || s.rule == processAgeCounts {
			continue
		}
		granter.yield = modelYield{}
		for e := range state.executors {
			for turn := range modelAttempts {
				state.asks[e][turn] &^= 1 << i
				state.releases[e][turn] &^= 1 << i
			}
		}
	}
}

func (s *scenario) successors(state modelState, visit func(modelState)) {
	for e := range state.executors {
		s.executorSteps(state, e, visit)
		for turn := range modelAttempts {
			s.messageSteps(state, e, turn, visit)
		}
	}
	for i := range state.granters {
		if !s.inList(0, i) && !s.inList(1, i) {
			continue
		}
		if state.crashes < s.crashes {
			visit(s.crash(state, i))
		}
		if state.granters[i].view == 0 {
			visit(s.changeList(state, i))
		}
	}
}

func (s *scenario) executorSteps(state modelState, e int, visit func(modelState)) {
	executor := &state.executors[e]
	before := state
	switch executor.state {
	case idle:
		if executor.turn < s.attemptsOf(e) {
			s.begin(&state, e)
			visit(state)
		}
	case asking:
		if s.quorumReached(executor) {
			s.clear(&state, e)
			visit(state)
			state = before
		}
		if e == 0 {
			s.giveUp(&state, e)
			visit(state)
		}
	case cleared:
		s.send(&state, e)
		visit(state)
	}
}

func (s *scenario) begin(state *modelState, e int) {
	executor, granter := &state.executors[e], &state.granters[e]
	turn := executor.turn
	executor.turn++
	executor.incarnations[turn], executor.views[turn] = granter.incarnation, granter.view
	executor.state, executor.view, executor.granted = asking, granter.view, 0
	for i := range modelRouters {
		if s.inList(granter.view, i) {
			state.asks[e][turn] |= 1 << i
		}
	}
}

func (s *scenario) quorumReached(executor *modelExecutor) bool {
	granted := 0
	for i := range modelRouters {
		granted += int(executor.granted >> i & 1)
	}
	return s.rule == noClearance || granted >= s.need(executor.view)
}

// clear ends the round. Requests still on their way are dropped: one that came
// could only keep the key from others.
func (s *scenario) clear(state *modelState, e int) {
	executor := &state.executors[e]
	executor.state = cleared
	state.asks[e][executor.turn-1] = 0
	if s.rule != recordAfterSend {
		executor.granted = 0
	}
}

func (s *scenario) giveUp(state *modelState, e int) {
	executor := &state.executors[e]
	executor.state, executor.granted = idle, 0
	for i := range modelRouters {
		if s.inList(executor.view, i) {
			state.releases[e][executor.turn-1] |= 1 << i
		}
	}
}

func (s *scenario) send(state *modelState, e int) {
	executor := &state.executors[e]
	executor.state = sent
	state.runs++
	if s.rule != recordAfterSend {
		return
	}
	for i := range state.granters {
		if executor.granted>>i&1 == 1 {
			state.granters[i].yield = modelYield{held: true, router: int8(e), incarnation: state.granters[e].incarnation, turn: executor.turn}
		}
	}
}

// messageSteps delivers one message of an attempt, in any order.
func (s *scenario) messageSteps(state modelState, e, turn int, visit func(modelState)) {
	for i := range modelRouters {
		bit := uint8(1) << i
		if state.asks[e][turn]&bit != 0 {
			next := state
			next.asks[e][turn] &^= bit
			if s.ask(&next, e, turn, i) {
				s.reply(&next, e, turn, i)
			}
			visit(next)
		}
		if state.releases[e][turn]&bit != 0 {
			next := state
			next.releases[e][turn] &^= bit
			s.release(&next, e, turn, i)
			visit(next)
		}
	}
}

// reply counts a yield. It is one step with the granter's: a reply that comes
// after its attempt was given up counts for nothing, as a late request does.
func (s *scenario) reply(state *modelState, e, turn, from int) {
	executor := &state.executors[e]
	if executor.state == asking && int(executor.turn) == turn+1 {
		executor.granted |= 1 << from
	}
}

// ask lets a granter decide and reports whether it yielded.
func (s *scenario) ask(state *modelState, e, turn, to int) bool {
	granter, executor := &state.granters[to], &state.executors[e]
	if !s.vouches(granter, to) || !s.overlap(executor.views[turn], granter.view) {
		return false
	}
	holder := s.holder(executor, e, turn)
	if !granter.yield.held {
		if s.rule != recordAfterSend {
			granter.yield = packYield(yield{holder: holder})
		}
		return true
	}
	known := granter.yield.unpack()
	if s.rule == grantOldAttempts && known.holder.sameProcess(holder) {
		granter.yield = packYield(yield{holder: holder})
		return true
	}
	answer := known.take(holder)
	granter.yield = packYield(known)
	return answer.Granted
}

func (s *scenario) vouches(granter *modelGranter, router int) bool {
	switch s.rule {
	case youngCount:
		return s.inList(granter.view, router)
	case processAgeCounts:
		return s.inList(granter.view, router) && !granter.young
	}
	return s.inList(granter.view, router) && !granter.young && !granter.joinedLate
}

func (s *scenario) holder(executor *modelExecutor, e, turn int) Holder {
	incarnation := executor.incarnations[turn]
	if s.rule == incarnationIgnored {
		incarnation = 0
	}
	return Holder{Address: strconv.Itoa(e), Incarnation: strconv.Itoa(int(incarnation)), Attempt: int64(turn + 1)}
}

func (s *scenario) release(state *modelState, e, turn, to int) {
	granter := &state.granters[to]
	if !granter.yield.held {
		return
	}
	known := granter.yield.unpack()
	holder := s.holder(&state.executors[e], e, turn)
	if s.rule == releaseAnyAttempt && known.holder.sameProcess(holder) {
		holder.Attempt = max(holder.Attempt, known.holder.Attempt)
	}
	known.release(holder)
	granter.yield = packYield(known)
}

// crash restarts a router with an empty memory.
func (s *scenario) crash(state modelState, router int) modelState {
	granter := &state.granters[router]
	if router < modelExecutors {
		granter.incarnation++
	}
	granter.young, granter.joinedLate = true, true
	granter.yield = modelYield{}
	if router < modelExecutors {
		state.executors[router].state = idle
		state.executors[router].granted = 0
	}
	state.crashes++
	return state
}

// changeList lets a router see the newer list. Joining is after the key's
// issue.
func (s *scenario) changeList(state modelState, router int) modelState {
	granter := &state.granters[router]
	if s.inList(1, router) && !s.inList(0, router) {
		granter.joinedLate = true
	}
	granter.view = 1
	return state
}

func packYield(y yield) modelYield {
	router, _ := strconv.Atoi(y.holder.Address)
	incarnation, _ := strconv.Atoi(y.holder.Incarnation)
	return modelYield{held: true, released: y.released, router: int8(router), incarnation: int8(incarnation), turn: int8(y.holder.Attempt)}
}

func (y modelYield) unpack() yield {
	return yield{released: y.released, holder: Holder{
		Address: strconv.Itoa(int(y.router)), Incarnation: strconv.Itoa(int(y.incarnation)), Attempt: int64(y.turn),
	}}
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

func TestModelFindsNoDoubleRun(t *testing.T) {
	for _, s := range []scenario{threeRouters, oneReplaced, grown, swapped} {
		s.rule = soundRule
		states, doubled := explore(&s)
		t.Logf("%s: %d states, doubled=%t", s.name, states, doubled)
		if doubled || states >= maxModelStates {
			t.Errorf("%s: the work can run twice, or the search did not end", s.name)
		}
	}
}

func TestModelFindsTheDoubleRunOfWeakenedRules(t *testing.T) {
	oneAttempt, grownQuietly := threeRouters, grown
	oneAttempt.attempts, grownQuietly.crashes = 1, 0
	smallQuorum := oneAttempt
	smallQuorum.name, smallQuorum.quorum = "3 routers, quorum of one", half
	stale := swapped
	stale.name, stale.views = "4 routers, all replaced, a list in use that is too old", [modelRouters]int8{0, 1, 0, 1}
	weakened := []struct {
		scenario scenario
		rule     weakness
	}{
		{oneAttempt, noClearance},
		{smallQuorum, listsUnchecked},
		{oneAttempt, youngCount},
		{oneAttempt, recordAfterSend},
		{threeRouters, releaseAnyAttempt},
		{threeRouters, grantOldAttempts},
		{threeRouters, incarnationIgnored},
		{grownQuietly, processAgeCounts},
		{stale, listsUnchecked},
		// Both assumptions broken at once: the model shows what breaks then.
		{stale, soundRule},
	}
	for _, w := range weakened {
		s := w.scenario
		s.rule = w.rule
		states, doubled := explore(&s)
		t.Logf("%s, weakened by %s: %d states, doubled=%t", s.name, w.rule, states, doubled)
		if !doubled {
			t.Errorf("%s: the model misses the double run of %q", s.name, w.rule)
		}
	}
}
