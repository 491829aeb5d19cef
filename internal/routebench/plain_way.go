package routebench

// PlainWay takes the first engine of the chat's order, without a cap.
type PlainWay struct{ reports }

// Name returns the way's name in tables.
func (w *PlainWay) Name() string { return "plain rendezvous" }

// Place chooses without a cap.
func (w *PlainWay) Place(r *Request, _ int) Placement {
	return Placement{Engine: w.fleet.ranked(r, 1)[0], Asked: 1}
}

// Exchange sends nothing.
func (w *PlainWay) Exchange() int { return 0 }
