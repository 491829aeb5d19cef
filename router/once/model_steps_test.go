package once

import "strconv"

// executorSteps calls visit with each state that can follow from a step of
// executor e.
func (s *scenario) executorSteps(state modelState, e int, visit func(modelState)) {
	executor := &state.executors[e]
	before := state
	switch executor.state {
	case idle:
		if executor.attempts < s.maxAttempts(e) {
			s.begin(&state, e)
			visit(state)
		}
	case requesting:
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

// begin starts the executor's next attempt and sends its clearance requests.
func (s *scenario) begin(state *modelState, e int) {
	executor, granter := &state.executors[e], &state.granters[e]
	attempt := executor.attempts
	executor.attempts++
	executor.incarnations[attempt], executor.views[attempt] = granter.incarnation, granter.view
	executor.state, executor.view, executor.granted = requesting, granter.view, 0
	for i := range modelRouters {
		if s.inVersion(granter.view, i) {
			state.requests[e][attempt] |= 1 << i
		}
	}
}

func (s *scenario) quorumReached(executor *modelExecutor) bool {
	granted := 0
	for i := range modelRouters {
		granted += int(executor.granted >> i & 1)
	}
	return s.rule == noClearance || granted >= s.quorumOf(executor.view)
}

// clear records that the executor has its clearance. Requests still in transit
// are dropped: if delivered, they could only deny the key to others.
func (s *scenario) clear(state *modelState, e int) {
	executor := &state.executors[e]
	executor.state = cleared
	state.requests[e][executor.attempts-1] = 0
	if s.rule != recordAfterSend {
		executor.granted = 0
	}
}

// giveUp abandons the executor's attempt and sends its releases.
func (s *scenario) giveUp(state *modelState, e int) {
	executor := &state.executors[e]
	executor.state, executor.granted = idle, 0
	for i := range modelRouters {
		if s.inVersion(executor.view, i) {
			state.releases[e][executor.attempts-1] |= 1 << i
		}
	}
}

// send executes the work.
func (s *scenario) send(state *modelState, e int) {
	executor := &state.executors[e]
	executor.state = sent
	state.runs++
	if s.rule != recordAfterSend {
		return
	}
	for i := range state.granters {
		if executor.granted>>i&1 == 1 {
			state.granters[i].grant = modelGrant{held: true, router: int8(e), incarnation: state.granters[e].incarnation, attempt: executor.attempts}
		}
	}
}

// messageSteps calls visit with each state that can follow from the delivery of
// one message of an attempt. Attempts are numbered from 0.
func (s *scenario) messageSteps(state modelState, e, attempt int, visit func(modelState)) {
	for i := range modelRouters {
		bit := uint8(1) << i
		if state.requests[e][attempt]&bit != 0 {
			next := state
			next.requests[e][attempt] &^= bit
			if s.ask(&next, e, attempt, i) {
				s.reply(&next, e, attempt, i)
			}
			visit(next)
		}
		if state.releases[e][attempt]&bit != 0 {
			next := state
			next.releases[e][attempt] &^= bit
			s.release(&next, e, attempt, i)
			visit(next)
		}
	}
}

// reply counts a grant for the executor. It is one step with the granter's
// decision: a delayed reply to an abandoned attempt has no effect, just like a
// delayed request.
func (s *scenario) reply(state *modelState, e, attempt, from int) {
	executor := &state.executors[e]
	if executor.state == requesting && int(executor.attempts) == attempt+1 {
		executor.granted |= 1 << from
	}
}

// ask lets a granter decide on a request and reports whether it grants the key.
func (s *scenario) ask(state *modelState, e, attempt, to int) bool {
	granter, executor := &state.granters[to], &state.executors[e]
	if !s.remembersKey(granter, to) || !s.quorumsOverlap(executor.views[attempt], granter.view) {
		return false
	}
	holder := s.holder(executor, e, attempt)
	if !granter.grant.held {
		if s.rule != recordAfterSend {
			granter.grant = packGrant(keyGrant{holder: holder})
		}
		return true
	}
	grant := granter.grant.unpack()
	if s.rule == grantOldAttempts && grant.holder.sameProcess(holder) {
		granter.grant = packGrant(keyGrant{holder: holder})
		return true
	}
	answer := grant.tryGrant(holder)
	granter.grant = packGrant(grant)
	return answer.Granted
}

// remembersKey reports whether the granter may decide on the key, because it
// holds all grants that it made for it.
func (s *scenario) remembersKey(granter *modelGranter, router int) bool {
	switch s.rule {
	case youngGrantersCount:
		return s.inVersion(granter.view, router)
	case processAgeCounts:
		return s.inVersion(granter.view, router) && !granter.restartedLate
	}
	return s.inVersion(granter.view, router) && !granter.restartedLate && !granter.joinedLate
}

func (s *scenario) holder(executor *modelExecutor, e, attempt int) Holder {
	incarnation := executor.incarnations[attempt]
	if s.rule == incarnationIgnored {
		incarnation = 0
	}
	return Holder{Address: strconv.Itoa(e), Incarnation: strconv.Itoa(int(incarnation)), Attempt: int64(attempt + 1)}
}

func (s *scenario) release(state *modelState, e, attempt, to int) {
	granter := &state.granters[to]
	if !granter.grant.held {
		return
	}
	grant := granter.grant.unpack()
	holder := s.holder(&state.executors[e], e, attempt)
	if s.rule == releaseAnyAttempt && grant.holder.sameProcess(holder) {
		holder.Attempt = max(holder.Attempt, grant.holder.Attempt)
	}
	grant.release(holder)
	granter.grant = packGrant(grant)
}

// crash restarts a router, which loses its grants.
func (s *scenario) crash(state modelState, router int) modelState {
	granter := &state.granters[router]
	if router < modelExecutors {
		granter.incarnation++
	}
	granter.restartedLate, granter.joinedLate = true, true
	granter.grant = modelGrant{}
	if router < modelExecutors {
		state.executors[router].state = idle
		state.executors[router].granted = 0
	}
	state.crashes++
	return state
}

// changeList gives a router the newer list. A router that joins by it joins
// after the key was issued.
func (s *scenario) changeList(state modelState, router int) modelState {
	granter := &state.granters[router]
	if s.inVersion(1, router) && !s.inVersion(0, router) {
		granter.joinedLate = true
	}
	granter.view = 1
	return state
}
