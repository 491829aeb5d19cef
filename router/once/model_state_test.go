package once

import "strconv"

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
