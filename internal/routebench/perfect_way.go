package routebench

// PerfectWay knows all loads and contexts without lag. It takes the engine that
// holds the chat's newest context and is below the cap, else the first of the
// chat's order that is.
type PerfectWay struct {
	reports
	served map[int][]int
}

// Name returns the way's name in tables.
func (w *PerfectWay) Name() string { return "perfect knowledge" }

// Start prepares the way for a fleet.
func (w *PerfectWay) Start(f *Fleet) {
	w.fleet = f
	w.served = map[int][]int{}
}

// Place takes the best engine of the whole fleet.
func (w *PerfectWay) Place(r *Request, hint int) Placement {
	placement := Placement{Engine: none, Asked: 1}
	mean := w.fleet.mean()
	for _, number := range w.wanted(r) {
		if w.fleet.underCap(w.fleet.engines[number].tokens, mean, r) {
			placement.Engine = number
			w.note(r.Chat, number)
			break
		}
		placement.HintFull = placement.HintFull || number == hint
	}
	return placement
}

// wanted returns the engines that hold the chat's context, the newest first,
// and then the chat's order.
func (w *PerfectWay) wanted(r *Request) []int {
	var wanted []int
	served := w.served[r.Chat]
	for i := len(served) - 1; i >= 0; i-- {
		e := w.fleet.engines[served[i]]
		if e.live && e.cache.holds(r.Chat) {
			wanted = append(wanted, served[i])
		}
	}
	return append(wanted, w.fleet.ranked(r, 0)...)
}

// note moves an engine to the end of those that served the chat.
func (w *PerfectWay) note(chat, number int) {
	served := w.served[chat][:0]
	for _, other := range w.served[chat] {
		if other != number {
			served = append(served, other)
		}
	}
	w.served[chat] = append(served, number)
}

// Exchange sends nothing.
func (w *PerfectWay) Exchange() int { return 0 }
