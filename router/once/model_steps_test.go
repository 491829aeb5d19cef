package once

import "strconv"

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
