package once

import "strconv"

// modelGrant is a keyGrant in a comparable form.
type modelGrant struct {
	held, released               bool
	router, incarnation, attempt int8
}

// modelGranter is a router in its role as granter. view is its list version.
// restartedLate and joinedLate report whether it restarted or joined the list
// after the key was issued.
type modelGranter struct {
	incarnation, view         int8
	restartedLate, joinedLate bool
	grant                     modelGrant
}

// The states of a modelExecutor.
const (
	idle int8 = iota
	requesting
	cleared
	sent
)

// modelExecutor is a router in its role as executor. attempts is the number of
// attempts begun; granted has a bit for each router that granted the current one.
type modelExecutor struct {
	state, attempts, view int8
	granted               uint8
	// incarnations and views are those with which each attempt was begun.
	incarnations, views [modelAttempts]int8
}

// modelState is one state of the model. requests and releases are the messages
// in transit of each attempt, with a bit for each target router. runs is the
// number of executions of the work.
type modelState struct {
	granters           [modelRouters]modelGranter
	executors          [modelExecutors]modelExecutor
	requests, releases [modelExecutors][modelAttempts]uint8
	crashes, runs      int8
}

// explore returns the number of visited states and whether the work can be
// executed twice.
func explore(s *scenario) (states int, doubled bool) {
	var first modelState
	for i := range first.granters {
		first.granters[i].view = s.initialViews[i]
		first.granters[i].joinedLate = !s.inVersion(s.initialViews[i], i)
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

// normalize clears state that can have no effect any more, to reduce the number
// of states: messages to routers that never decide on the key again, and the
// grants of such routers.
func (s *scenario) normalize(state *modelState) {
	for i := range state.granters {
		granter := &state.granters[i]
		if s.remembersKey(granter, i) || s.inVersion(1, i) && !granter.restartedLate && !granter.joinedLate {
			continue
		}
		if s.rule == youngGrantersCount || s.rule == processAgeCounts {
			continue
		}
		granter.grant = modelGrant{}
		for e := range state.executors {
			for attempt := range modelAttempts {
				state.requests[e][attempt] &^= 1 << i
				state.releases[e][attempt] &^= 1 << i
			}
		}
	}
}

// successors calls visit with each state that can follow state.
func (s *scenario) successors(state modelState, visit func(modelState)) {
	for e := range state.executors {
		s.executorSteps(state, e, visit)
		for attempt := range modelAttempts {
			s.messageSteps(state, e, attempt, visit)
		}
	}
	for i := range state.granters {
		if !s.inVersion(0, i) && !s.inVersion(1, i) {
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

func packGrant(g keyGrant) modelGrant {
	router, _ := strconv.Atoi(g.holder.Address)
	incarnation, _ := strconv.Atoi(g.holder.Incarnation)
	return modelGrant{held: true, released: g.released, router: int8(router), incarnation: int8(incarnation), attempt: int8(g.holder.Attempt)}
}

func (g modelGrant) unpack() keyGrant {
	return keyGrant{released: g.released, holder: Holder{
		Address: strconv.Itoa(int(g.router)), Incarnation: strconv.Itoa(int(g.incarnation)), Attempt: int64(g.attempt),
	}}
}
